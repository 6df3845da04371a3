package io.persimmonstack.node;

import io.persimmonstack.node.placing.RepeatBudgetOptions;
import io.persimmonstack.wire.PeerAddress;

/**
 * What one node is told about itself and the fleet.
 *
 * @param name name of the node, unique in the fleet
 * @param zone availability zone
 * @param callerAddress where callers find it
 * @param linkAddress where other nodes find it
 * @param routingKey key of the configuration in the store
 * @param runnersPrefix beginning of the runners' keys in the store
 * @param repeatBudget bounds of repeats
 * @param orderPauseMs time that a new leader waits before its first order, in milliseconds; 0 where runners refuse
 *     orders of an earlier term by themselves
 * @param applyMs time within which a change in the store must take effect, in milliseconds
 * @param graceMs time from the request to stop until the process is killed, in milliseconds
 */
public record NodeOptions(
        String name,
        String zone,
        PeerAddress callerAddress,
        PeerAddress linkAddress,
        String routingKey,
        String runnersPrefix,
        RepeatBudgetOptions repeatBudget,
        long orderPauseMs,
        int applyMs,
        long graceMs) {}
