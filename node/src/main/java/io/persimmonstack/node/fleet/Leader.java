package io.persimmonstack.node.fleet;

import io.persimmonstack.wire.PeerAddress;

/**
 * Elected node, which plans the loads of all runners.
 *
 * @param node name of the node
 * @param linkAddress address that the other nodes report to
 * @param term store revision of its election; increases with every election and is the fencing token of its orders
 */
public record Leader(String node, PeerAddress linkAddress, long term) {}
