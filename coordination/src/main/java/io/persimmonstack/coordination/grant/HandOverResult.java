package io.persimmonstack.coordination.grant;

/** Outcome of handing a runner over. */
public sealed interface HandOverResult {
    /**
     * The hand-over is recorded, and any node may acquire the runner.
     *
     * @param runner name of the runner
     * @param epoch epoch of the ownership that has ended
     */
    record HandedOver(String runner, long epoch) implements HandOverResult {}

    /**
     * This process does not own the runner, or may not send it orders yet.
     *
     * @param reason which of the two, with the phase of the runner
     */
    record NotOwner(String reason) implements HandOverResult {}
}
