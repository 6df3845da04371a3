package io.persimmonstack.node;

import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.node.placing.RetryBudgetOptions;
import io.persimmonstack.wire.PeerAddress;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Identity, addresses, store keys and limits of a node.
 *
 * @param name name of the node, unique in the fleet
 * @param zone availability zone
 * @param regions regions by availability zone; with more than one zone, the node decides when requests leave its own
 * @param callerAddress address that callers send requests to
 * @param linkAddress address that other nodes report to
 * @param routingKey key of the configuration in the store
 * @param runnersPrefix prefix of the runners' keys in the store
 * @param retryBudget limits on sending requests again
 * @param orderPauseMs time that a new leader waits before its first order, in milliseconds; 0 if runners themselves
 *     refuse orders of an earlier term
 * @param applyMs time limit within which a change in the store must take effect, in milliseconds
 * @param leavingServesMs time for which a runner serves after the store has accepted that it leaves, in milliseconds;
 *     empty if it is not known
 * @param revokeMs age of the last confirmation of the configuration beyond which no key of a workspace is accepted, in
 *     milliseconds; empty if keys are accepted at any age
 * @param capBounds bound on the usage of a workspace that has a cap
 * @param graceMs grace period from the stop signal until the process is killed, in milliseconds
 */
public record NodeOptions(
        String name,
        String zone,
        Map<String, String> regions,
        PeerAddress callerAddress,
        PeerAddress linkAddress,
        String routingKey,
        String runnersPrefix,
        RetryBudgetOptions retryBudget,
        long orderPauseMs,
        int applyMs,
        OptionalLong leavingServesMs,
        OptionalLong revokeMs,
        CapBounds capBounds,
        long graceMs) {
    /** Copies the regions. */
    public NodeOptions {
        regions = Map.copyOf(regions);
    }
}
