package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.Runner;

/** Cost that a runner has for being in another availability zone than the node, in units of {@link RunnerCost}. */
interface ZoneCost {
    /** Returns the cost of a runner. */
    double of(Runner runner);

    /** Returns a small fixed cost of all zones but the given one, so that it decides between equal runners. */
    static ZoneCost preferring(String zone) {
        double otherZonePenalty = 0.02;
        return runner -> runner.zone().equals(zone) ? 0 : otherZonePenalty;
    }
}
