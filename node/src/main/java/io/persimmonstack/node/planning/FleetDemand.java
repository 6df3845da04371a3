package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;

/**
 * Demand for one model or adapter, summed over all nodes.
 *
 * @param model model or adapter
 * @param waiting number of requests that wait for a runner
 * @param oldestWaitMs time that the oldest waiting request has waited, in milliseconds
 * @param targetLatencyMs highest latency target reported by the nodes, in milliseconds
 * @param perSecond recent rate of requests per second
 */
record FleetDemand(ModelRef model, int waiting, long oldestWaitMs, long targetLatencyMs, double perSecond) {
    /** Share of the latency target after which a waiting request counts as late. */
    private static final double LATE_THRESHOLD_SHARE = 0.8;

    /** Returns whether the oldest waiting request can probably no longer meet its latency target. */
    boolean isLate() {
        return oldestWaitMs > LATE_THRESHOLD_SHARE * targetLatencyMs;
    }
}
