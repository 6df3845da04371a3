package io.persimmonstack.router.snapshot;

import io.persimmonstack.wire.PeerAddress;

/**
 * A router in service, as shown by a snapshot.
 *
 * @param node name of the host that it runs on
 * @param zone availability zone of the host
 * @param callersAddress address that callers connect to
 * @param peerAddress address that other routers connect to
 */
public record RouterEntry(String node, String zone, String callersAddress, PeerAddress peerAddress) {}
