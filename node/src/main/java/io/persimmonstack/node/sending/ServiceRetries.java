package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.placing.RetryBudget;

/**
 * Retry budget of one service, shared by all nodes.
 *
 * @param budget budget of this node
 * @param fleet provides the number of nodes that share the budget
 * @param service name of the service
 */
record ServiceRetries(RetryBudget budget, FleetView fleet, String service) {
    /** Lower bound on the number of nodes: one that has just started may not know the others yet. */
    private static final int MIN_NODES = 6;

    /** Records that a request was received, which raises the budget. */
    void recordRequest() {
        budget.recordRequest(service, System.nanoTime());
    }

    /** Returns whether the budget allows one more retry at present. */
    boolean allowed() {
        return budget.allows(service, nodeCount(), System.nanoTime());
    }

    /** Spends one retry, if the budget allows it; returns whether it does. */
    boolean trySpend() {
        return budget.trySpend(service, nodeCount(), System.nanoTime());
    }

    /** Returns how many nodes may share the budget, including those that this node does not see at present. */
    private int nodeCount() {
        return Math.max(MIN_NODES, fleet.maxPeersSeen());
    }
}
