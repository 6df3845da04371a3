package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;

/**
 * What all callers ask of a model or adapter.
 *
 * @param model model or adapter
 * @param waiting requests that wait for a runner
 * @param oldestWaitMs how long the oldest of them has waited, in milliseconds
 * @param targetLatencyMs latency target of that one, in milliseconds
 * @param perSecond requests a second lately
 */
record FleetDemand(ModelRef model, int waiting, long oldestWaitMs, long targetLatencyMs, double perSecond) {
    private static final double LATE_THRESHOLD_SHARE = 0.8;

    /** Returns whether the oldest waiting request cannot be on time any more. */
    boolean isLate() {
        return oldestWaitMs > LATE_THRESHOLD_SHARE * targetLatencyMs;
    }
}
