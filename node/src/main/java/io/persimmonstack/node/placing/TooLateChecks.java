package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.router.request.Jitter;

/**
 * Refuses waiting requests that no runner can take any more, or not in time. Not thread-safe; guarded by the lock of
 * {@link Placer}.
 *
 * @param trackers all runners
 * @param modelArrivals when models become available
 */
record TooLateChecks(RunnerLoadTrackers trackers, ModelArrivalTracker modelArrivals) {
    private static final ModelRef NO_MODEL = new ModelRef("", "");

    /** Refuses the rest of a stream if no runner of the software version that began it stays or can still take it. */
    void refuseIfVersionGone(QueuedRequest queued) {
        RunnerFilter filter = queued.runnerFilter();
        if (filter.softwareVersion().isEmpty()) {
            return;
        }
        long nowNanos = System.nanoTime();
        boolean left = trackers.ofService(queued.request().service().name()).stream()
                .anyMatch(tracker -> tracker.canTakeRest(filter, nowNanos));
        if (!left) {
            queued.refuse(PlacementRefusals.versionGone(filter.softwareVersion().get()));
        }
    }

    /** Refuses a request whose model cannot be loaded before its deadline, with the time to retry after. */
    void refuseIfModelTooLate(QueuedRequest queued) {
        long nowNanos = System.nanoTime();
        modelArrivals.unavailableForMs(queued, nowNanos).ifPresent(earliestMs -> {
            long retryAfterMs = Jitter.spread(earliestMs);
            modelArrivals.recordRefusal(queued, retryAfterMs, nowNanos);
            ModelRef model = queued.request().callerRequest().model().orElse(NO_MODEL);
            queued.refuse(PlacementRefusals.modelNotLoaded(model, earliestMs, retryAfterMs));
        });
    }
}
