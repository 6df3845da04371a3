package io.persimmonstack.coordinator;

import io.persimmonstack.backends.kv.CallRates;

/** Keeps the calls of all coordinators together within what the key-value service is to get from them. */
public final class KvCallBudget {
    private final CoordinatorSettings.KvSettings settings;
    private final CallRates rates;
    private int lastNodeCount = -1;

    private KvCallBudget(CoordinatorSettings.KvSettings settings, CallRates rates) {
        this.settings = settings;
        this.rates = rates;
    }

    static KvCallBudget of(CoordinatorSettings.KvSettings settings, CallRates rates) {
        return new KvCallBudget(settings, rates);
    }

    /**
     * Takes this node's nodeShare, at least one call a second and at most its own limit.
     *
     * @param nodeCount nodeCount that make calls
     */
    synchronized void updateNodeCount(int nodeCount) {
        if (nodeCount == lastNodeCount) {
            return;
        }
        lastNodeCount = nodeCount;
        rates.perSecond(
                nodeShare(settings.readsPerSecond(), settings.fleetReadsPerSecond(), nodeCount),
                nodeShare(settings.writesPerSecond(), settings.fleetWritesPerSecond(), nodeCount));
    }

    private static int nodeShare(int nodeLimit, int fleetLimit, int nodeCount) {
        return Math.max(1, Math.min(nodeLimit, fleetLimit / Math.max(1, nodeCount)));
    }
}
