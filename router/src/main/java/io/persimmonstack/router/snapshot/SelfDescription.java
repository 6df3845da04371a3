package io.persimmonstack.router.snapshot;

import io.persimmonstack.wire.gen.RouterState;
import java.util.concurrent.atomic.AtomicReference;

/**
 * What this router reports about itself with each request for a snapshot.
 *
 * @param node name of the host that it runs on
 * @param incarnation number of this process, higher than that of any earlier one on the host
 * @param callersAddress address that callers connect to
 * @param peerAddress address that other routers connect to
 * @param state current state, updated when the router starts to serve, leaves or stops
 */
public record SelfDescription(
        String node, long incarnation, String callersAddress, String peerAddress, AtomicReference<RouterState> state) {}
