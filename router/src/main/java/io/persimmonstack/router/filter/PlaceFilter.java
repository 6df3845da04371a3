package io.persimmonstack.router.filter;

import io.persimmonstack.router.admission.Admission;
import io.persimmonstack.router.admission.Placer;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.Target;
import io.persimmonstack.router.snapshot.UseReporter;
import java.util.Optional;

/**
 * Settles on the target of an attempt: the place that admission found, and for a further attempt another target, or
 * the same one where a stream is to be resumed.
 */
public final class PlaceFilter implements Filter {
    private final Placer placer;
    private final Admission admission;
    private final FleetViews views;
    private final UseReporter useReporter;

    private PlaceFilter(Placer placer, Admission admission, FleetViews views, UseReporter useReporter) {
        this.placer = placer;
        this.admission = admission;
        this.views = views;
        this.useReporter = useReporter;
    }

    /**
     * Returns the filter.
     *
     * @param placer chooses targets
     * @param admission waits for a place where no other target has one
     * @param views source of the current view
     * @param uses learns which model is used where
     * @return the filter
     */
    public static PlaceFilter of(Placer placer, Admission admission, FleetViews views, UseReporter useReporter) {
        return new PlaceFilter(placer, admission, views, useReporter);
    }

    @Override
    public String name() {
        return "place";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        if (!request.takeReserved()) {
            request.reservation(reserveForRetry(request));
            request.takeReserved();
        }
        if (request.work() instanceof Work.Completion completion) {
            String runner = request.reservation().orElseThrow().target().id();
            useReporter.used(completion.model().toString(), completion.adapter(), runner);
        }
        next.proceed(request);
    }

    private Reservation reserveForRetry(Request request) throws RouterException, InterruptedException {
        Optional<Reservation> reservation = reserveForResume(request);
        if (reservation.isEmpty()) {
            reservation = placer.reserve(request.work(), views.current(), request.tried());
        }
        return reservation.isPresent() ? reservation.get() : admission.admit(request);
    }

    private Optional<Reservation> reserveForResume(Request request) {
        if (request.relayed().tokens() == 0) {
            return Optional.empty();
        }
        Optional<Target> lastTarget = request.reservation().map(Reservation::target);
        return lastTarget.filter(target -> !request.tried().contains(target)).flatMap(placer::reserveAt);
    }
}
