package io.persimmonstack.node.placing;

/** Whether a runner may be sent new requests. */
sealed interface Availability {
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
