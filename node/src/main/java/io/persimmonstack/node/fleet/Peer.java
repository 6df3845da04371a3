package io.persimmonstack.node.fleet;

import io.persimmonstack.wire.PeerAddress;

/**
 * Node as it describes itself in the store while it is ready.
 *
 * @param node name of the node
 * @param startedMs start of its process, Unix milliseconds
 * @param zone availability zone
 * @param callerAddress where it takes requests
 * @param linkAddress where it takes messages of other nodes
 */
public record Peer(String node, long startedMs, String zone, PeerAddress callerAddress, PeerAddress linkAddress) {}
