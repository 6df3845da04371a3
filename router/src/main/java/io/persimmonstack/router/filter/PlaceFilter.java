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
 * Chooses the target of an attempt. The first attempt uses the reservation that admission made. A retry reserves
 * capacity at another target, or at the same one if a stream is resumed there.
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
     * @param placer chooses targets and reserves capacity at them
     * @param admission waits for capacity when no other target has any free
     * @param views source of the current fleet view
     * @param useReporter records which model is used at which runner
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
        if (!request.takeUnusedReservation()) {
            request.reservation(reserveForRetry(request));
            request.takeUnusedReservation();
        }
        if (request.work() instanceof Work.Completion completion) {
            String runner = request.reservation().orElseThrow().target().id();
            useReporter.recordUse(completion.model().toString(), completion.adapter(), runner);
        }
        next.proceed(request);
    }

    private Reservation reserveForRetry(Request request) throws RouterException, InterruptedException {
        Optional<Reservation> reservation = reserveForResume(request);
        if (reservation.isEmpty()) {
            reservation = placer.reserve(request.work(), views.current(), request.targetFilter());
        }
        return reservation.isPresent() ? reservation.get() : admission.admit(request);
    }

    /** Reserves capacity at the target of a broken stream; empty if nothing was relayed or it may not go on. */
    private Optional<Reservation> reserveForResume(Request request) {
        if (request.relayed().tokens() == 0) {
            return Optional.empty();
        }
        Optional<Target> lastTarget = request.reservation().map(Reservation::target);
        return lastTarget
                .filter(target -> placer.mayTakeAgain(request.work(), views.current(), request.targetFilter(), target))
                .flatMap(placer::reserveAt);
    }
}
