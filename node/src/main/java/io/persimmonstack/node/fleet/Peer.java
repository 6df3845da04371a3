package io.persimmonstack.node.fleet;

import io.persimmonstack.wire.PeerAddress;

/**
 * Node of the fleet, as it is registered in the store while it is ready.
 *
 * @param node name of the node
 * @param startedMs start time of its process, in Unix milliseconds
 * @param zone availability zone
 * @param callerAddress address that callers send requests to
 * @param linkAddress address that other nodes report to
 */
public record Peer(String node, long startedMs, String zone, PeerAddress callerAddress, PeerAddress linkAddress) {}
