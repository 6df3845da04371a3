package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;

/**
 * What all callers ask of a model or adapter.
 *
 * @param model model or adapter
 * @param waiting requests that wait for a runner
 * @param oldestMs how long the oldest of them has waited, in milliseconds
 * @param targetMs latency target of that one, in milliseconds
 * @param perSecond requests a second lately
 */
record DemandState(ModelRef model, int waiting, long oldestMs, long targetMs, double perSecond) {
    private static final double HOPEFUL_SHARE = 0.8;

    /** Returns whether the oldest waiting request cannot be on time any more. */
    boolean isLate() {
        return oldestMs > HOPEFUL_SHARE * targetMs;
    }
}
