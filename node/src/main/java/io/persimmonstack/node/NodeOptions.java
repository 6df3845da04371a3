package io.persimmonstack.node;

import io.persimmonstack.node.placing.RetryBudgetOptions;
import io.persimmonstack.wire.PeerAddress;

/**
 * What one node is told about itself and the fleet.
 *
 * @param name name of the node, unique in the fleet
 * @param zone availability zone
 * @param callers where callers find it
 * @param link where other nodes find it
 * @param routingKey key of the configuration in the store
 * @param runnersPrefix beginning of the runners' keys in the store
 * @param budget bounds of repeats
 * @param orderPauseMs time that a new leader waits before its first order, in milliseconds; 0 where runners refuse
 *     orders of an earlier term by themselves
 * @param applyMs time within which a change in the store must take effect, in milliseconds
 * @param graceMs time from the request to stop until the process is killed, in milliseconds
 */
public record NodeOptions(
        String name,
        String zone,
        PeerAddress callers,
        PeerAddress link,
        String routingKey,
        String runnersPrefix,
        RetryBudgetOptions budget,
        long orderPauseMs,
        int applyMs,
        long graceMs) {}
