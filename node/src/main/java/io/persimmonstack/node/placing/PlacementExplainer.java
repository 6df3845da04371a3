package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Explains where a request would go, by the decisions that place requests. Changes nothing. Not thread-safe; guarded by
 * the lock of {@link Placer}.
 */
final class PlacementExplainer {
    private final RunnerChooser chooser;
    private final ModelArrivalTracker arrivals;

    PlacementExplainer(RunnerChooser chooser, ModelArrivalTracker arrivals) {
        this.chooser = chooser;
        this.arrivals = arrivals;
    }

    /**
     * Returns the outlook of a new request.
     *
     * @param request request that would be placed
     * @param requirements what it requires of its runner
     * @param trackers trackers of all runners of its service
     * @param nowNanos monotonic time
     */
    PlacementOutlook outlook(
            ActiveRequest request,
            RunnerSelector.Requirements requirements,
            Collection<RunnerLoadTracker> trackers,
            long nowNanos) {
        PlacementOutlook placed = chooser.outlook(request, requirements, trackers, nowNanos);
        QueuedRequest queued = new QueuedRequest(request, requirements.runnerFilter(), request.deadlineNanos());
        Optional<Refusal> refusal = RequestRequirements.tooLarge(request)
                .or(() -> placed.choice().isPresent()
                        ? Optional.empty()
                        : refusal(queued, requirements, trackers, nowNanos))
                .map(RefusedException::refusal);
        Optional<RunnerVerdict> choice = refusal.isPresent() ? Optional.empty() : placed.choice();
        OptionalLong expectedLoadMs = choice.isPresent() ? OptionalLong.empty() : arrivals.expectedMs(queued, nowNanos);
        return new PlacementOutlook(
                placed.runners(), choice, placed.zoneCause(), placed.sample(), refusal, expectedLoadMs);
    }

    /** Returns the refusal of a request that finds no place now; empty if it would wait. */
    private Optional<RefusedException> refusal(
            QueuedRequest queued,
            RunnerSelector.Requirements requirements,
            Collection<RunnerLoadTracker> trackers,
            long nowNanos) {
        OptionalLong unavailableMs = arrivals.unavailableForMs(queued, nowNanos);
        if (unavailableMs.isPresent()) {
            return Optional.of(PlacementRefusals.modelNotLoaded(
                    requirements.model().orElseThrow(), unavailableMs.getAsLong(), unavailableMs.getAsLong()));
        }
        RunnerSelector selector = chooser.selector(queued.request());
        new QuietCheck(waiting -> selector.quietUntilNanos(trackers, requirements), nowNanos).refuseIfTooLong(queued);
        return queued.refusal();
    }
}
