package io.persimmonstack.coordinator;

import io.persimmonstack.backends.kv.CallRates;

/**
 * Limits this node's rate of calls to the key-value store to its share of the fleet-wide limits, so that all
 * coordinators together do not overload the store.
 */
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
     * Recomputes this node's share of the fleet-wide limits: at least one call per second and at most the node's own
     * limit. Does nothing if the node count is unchanged.
     *
     * @param nodeCount number of nodes that call the key-value store
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
