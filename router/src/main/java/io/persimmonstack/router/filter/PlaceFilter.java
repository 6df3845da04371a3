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
    private final UseReporter uses;

    private PlaceFilter(Placer placer, Admission admission, FleetViews views, UseReporter uses) {
        this.placer = placer;
        this.admission = admission;
        this.views = views;
        this.uses = uses;
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
    public static PlaceFilter of(Placer placer, Admission admission, FleetViews views, UseReporter uses) {
        return new PlaceFilter(placer, admission, views, uses);
    }

    @Override
    public String name() {
        return "place";
    }

    @Override
    public void handle(Request request, Chain next) throws RouterException, InterruptedException {
        if (!request.takeUnusedReservation()) {
            request.reservation(again(request));
            request.takeUnusedReservation();
        }
        if (request.work() instanceof Work.Completion completion) {
            String runner = request.reservation().orElseThrow().target().id();
            uses.recordUse(completion.model().toString(), completion.adapter(), runner);
        }
        next.proceed(request);
    }

    private Reservation again(Request request) throws RouterException, InterruptedException {
        Optional<Reservation> place = resumed(request);
        if (place.isEmpty()) {
            place = placer.reserve(request.work(), views.current(), request.tried());
        }
        return place.isPresent() ? place.get() : admission.admit(request);
    }

    private Optional<Reservation> resumed(Request request) {
        if (request.relayed().tokens() == 0) {
            return Optional.empty();
        }
        Optional<Target> last = request.reservation().map(Reservation::target);
        return last.filter(target -> !request.tried().contains(target)).flatMap(placer::reserveAt);
    }
}
