package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;
import java.util.Optional;

/**
 * Demand for one model or adapter, summed over all nodes.
 *
 * @param model model or adapter
 * @param waiting number of requests that wait for a runner
 * @param oldestWaitMs time that the oldest waiting request has waited, in milliseconds
 * @param targetLatencyMs highest latency target reported by the nodes, in milliseconds
 * @param perSecond recent rate of requests per second
 * @param softwareVersion the only software version that may serve the waiting requests; empty for any
 */
record FleetDemand(
        ModelRef model,
        int waiting,
        long oldestWaitMs,
        long targetLatencyMs,
        double perSecond,
        Optional<String> softwareVersion) {
    /** Share of the latency target after which a waiting request counts as late. */
    private static final double LATE_THRESHOLD_SHARE = 0.8;

    /** Creates demand that runners of any software version may serve. */
    FleetDemand(ModelRef model, int waiting, long oldestWaitMs, long targetLatencyMs, double perSecond) {
        this(model, waiting, oldestWaitMs, targetLatencyMs, perSecond, Optional.empty());
    }

    /** Returns the sum of two demands for the same model by requests that may use the same runners. */
    FleetDemand plus(FleetDemand other) {
        return new FleetDemand(
                model,
                waiting + other.waiting,
                Math.max(oldestWaitMs, other.oldestWaitMs),
                Math.max(targetLatencyMs, other.targetLatencyMs),
                perSecond + other.perSecond,
                softwareVersion);
    }

    /** Returns this demand as demand for the model, also if it is for an adapter, at the given software version. */
    FleetDemand ofModel(Optional<String> atSoftwareVersion) {
        return new FleetDemand(
                new ModelRef(model.model(), ""), waiting, oldestWaitMs, targetLatencyMs, perSecond, atSoftwareVersion);
    }

    /** Returns whether a runner's software version may serve the waiting requests. */
    boolean allows(RunnerState runner) {
        return softwareVersion.isEmpty() || softwareVersion.get().equals(runner.softwareVersion());
    }

    /** Returns whether the oldest waiting request can probably no longer meet its latency target. */
    boolean isLate() {
        return oldestWaitMs > LATE_THRESHOLD_SHARE * targetLatencyMs;
    }
}
