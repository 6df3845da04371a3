package io.persimmonstack.router.filter;

import com.codahale.metrics.Timer;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Admission;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;

/** Reserves capacity at a target, waiting for it or refusing, and releases it when the request ends. */
public final class AdmitFilter implements Filter {
    private final Admission admission;
    private final RouterMetrics metrics;

    private AdmitFilter(Admission admission, RouterMetrics metrics) {
        this.admission = admission;
        this.metrics = metrics;
    }

    /** Returns a filter that admits requests through the given admission and reports the waiting time. */
    public static AdmitFilter of(Admission admission, RouterMetrics metrics) {
        return new AdmitFilter(admission, metrics);
    }

    @Override
    public String name() {
        return "admit";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        try (Timer.Context ignored = metrics.waitTime().time()) {
            request.reservation(admission.admit(request));
        }
        try {
            next.proceed(request);
        } finally {
            request.reservation().ifPresent(Reservation::close);
        }
    }
}
