package io.persimmonstack.node.fleet;

import io.persimmonstack.wire.PeerAddress;

/**
 * Node that plans the loads of all runners.
 *
 * @param node name of the node
 * @param linkAddress where it takes reports
 * @param term store revision of its election; rises from leader to leader and serves as fencing number of its orders
 */
public record Leader(String node, PeerAddress linkAddress, long term) {}
