package io.persimmonstack.coordinator.gossip;

import io.persimmonstack.wire.gen.RouterState;

/**
 * Attributes that a node announces by gossip in addition to its membership entry.
 *
 * @param routerState state of the router on the same host
 * @param routerCallersAddress address on which the router accepts callers' requests, empty if unknown
 * @param routerPeerAddress address on which the router accepts calls of other routers, empty if unknown
 * @param routerIncarnation incarnation of the router process, 0 if unknown
 * @param configurationVersion active configuration version of the node, 0 if there is none
 */
public record NodeAttributes(
        RouterState routerState,
        String routerCallersAddress,
        String routerPeerAddress,
        long routerIncarnation,
        long configurationVersion) {
    /** Returns the attributes of a node whose router has not reported yet. */
    public static NodeAttributes withoutRouter() {
        return new NodeAttributes(RouterState.STOPPED, "", "", 0, 0);
    }

    /** Returns a copy with the given active configuration version. */
    public NodeAttributes withConfigurationVersion(long version) {
        return new NodeAttributes(routerState, routerCallersAddress, routerPeerAddress, routerIncarnation, version);
    }

    /** Returns a copy with the given state of the router. */
    public NodeAttributes withRouterState(RouterState state) {
        return new NodeAttributes(
                state, routerCallersAddress, routerPeerAddress, routerIncarnation, configurationVersion);
    }

    /**
     * Returns a copy with the state, addresses and incarnation that a router reported.
     *
     * @param state state of the router
     * @param callersAddress address on which it accepts callers' requests
     * @param peerAddress address on which it accepts calls of other routers, empty if unknown
     * @param incarnation incarnation of the router process
     * @return the copy
     */
    public NodeAttributes withRouter(RouterState state, String callersAddress, String peerAddress, long incarnation) {
        return new NodeAttributes(state, callersAddress, peerAddress, incarnation, configurationVersion);
    }
}
