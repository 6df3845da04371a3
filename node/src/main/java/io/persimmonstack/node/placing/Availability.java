package io.persimmonstack.node.placing;

import java.util.Optional;

/** Whether a runner may be sent new requests. */
sealed interface Availability {
    /** Returns why the runner is sent no new requests; empty if it may be. */
    default Optional<RunnerExclusion> exclusion() {
        return switch (this) {
            case Open open -> Optional.empty();
            case BackingOff backingOff -> Optional.of(RunnerExclusion.AVOIDED);
            case Quiet quiet -> Optional.of(RunnerExclusion.PAUSED);
            case RestsOnly restsOnly -> Optional.of(RunnerExclusion.LEAVING);
            case Leaving leaving -> Optional.of(RunnerExclusion.LEAVING);
        };
    }

    /** It may be sent requests. */
    record Open() implements Availability {}

    /** It is avoided for a moment, since it was full, could not be reached or has been replaced by another process. */
    record BackingOff() implements Availability {}

    /**
     * It asked for a pause.
     *
     * @param untilNanos end of the pause, by the monotonic clock
     */
    record Quiet(long untilNanos) implements Availability {}

    /** It is shutting down, but still takes the rest of streams that no runner which stays can take. */
    record RestsOnly() implements Availability {}

    /** It is shutting down, by its entry in the store or by its own word, and gets no requests. */
    record Leaving() implements Availability {}
}
