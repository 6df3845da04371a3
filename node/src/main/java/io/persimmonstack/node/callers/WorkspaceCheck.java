package io.persimmonstack.node.callers;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.config.WorkspaceKeys;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.PresentedKey;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.RunnerProtocol;
import java.util.Optional;
import java.util.OptionalLong;

/** Finds the workspace of a request by its key, and refuses requests that need a key and have none that is known. */
public final class WorkspaceCheck {
    private final FleetView fleet;
    private final RunnerProtocol protocol;
    private final int applyMs;
    private final OptionalLong revokeMs;

    private WorkspaceCheck(FleetView fleet, RunnerProtocol protocol, int applyMs, OptionalLong revokeMs) {
        this.fleet = fleet;
        this.protocol = protocol;
        this.applyMs = applyMs;
        this.revokeMs = revokeMs;
    }

    /**
     * Returns a check.
     *
     * @param fleet tells how old the configuration may be
     * @param protocol reads keys and sets the headers for runners
     * @param applyMs time limit within which a new configuration must take effect, in milliseconds
     * @param revokeMs age of the last confirmation of the configuration beyond which no key is accepted, in
     *     milliseconds; empty if keys are accepted at any age
     */
    public static WorkspaceCheck of(FleetView fleet, RunnerProtocol protocol, int applyMs, OptionalLong revokeMs) {
        return new WorkspaceCheck(fleet, protocol, applyMs, revokeMs);
    }

    /**
     * Request as a runner may get it.
     *
     * @param callerRequest request without its key
     * @param workspace workspace of the key, empty if there is none
     */
    record Checked(CallerRequest callerRequest, Optional<Workspace> workspace) {}

    /**
     * Checks the key of a request. Where no workspaces are configured, the request is returned as it is.
     *
     * @param callerRequest request with its key
     * @param route route of the request
     * @param routing configuration that has the route
     * @param nowNanos monotonic time
     * @throws RefusedException if the route needs a key and the request has none of a workspace
     */
    Checked check(CallerRequest callerRequest, Route route, RoutingTable routing, long nowNanos)
            throws RefusedException {
        if (routing.workspaceKeys().isEmpty()) {
            return new Checked(callerRequest, Optional.empty());
        }
        WorkspaceKeys keys = routing.workspaceKeys().get();
        PresentedKey presented = protocol.presentedKey(callerRequest);
        Optional<Workspace> workspace =
                presented instanceof PresentedKey.Key key ? keys.find(key.value()) : Optional.empty();
        if (!route.authExempt()) {
            Optional<Refusal> refusal = refusal(presented, workspace, routing, fleet.routingUnconfirmedMs(nowNanos));
            if (refusal.isPresent()) {
                throw new RefusedException(refusal.get());
            }
        }
        return new Checked(protocol.withWorkspace(callerRequest, workspace.map(Workspace::name)), workspace);
    }

    /** Returns the refusal of a request, on a route that needs a key, of a workspace or without a key. */
    Optional<Refusal> refusal(Optional<Workspace> workspace, RoutingTable routing, long nowNanos) {
        return refusal(new PresentedKey.Absent(), workspace, routing, fleet.routingUnconfirmedMs(nowNanos));
    }

    private Optional<Refusal> refusal(
            PresentedKey presented, Optional<Workspace> workspace, RoutingTable routing, long unconfirmedMs) {
        if (revokeMs.isPresent() && unconfirmedMs > revokeMs.getAsLong()) {
            return Optional.of(Refusal.unconfirmed(
                    "keys may have been removed from configuration " + routing.version(), unconfirmedMs));
        }
        return workspace.isEmpty() ? Optional.of(noWorkspace(presented, routing, unconfirmedMs)) : Optional.empty();
    }

    /** A request is refused for good only if no newer configuration can be in force that allows it. */
    private Refusal noWorkspace(PresentedKey presented, RoutingTable routing, long unconfirmedMs) {
        if (unconfirmedMs > applyMs) {
            return Refusal.unconfirmed("no such key in configuration " + routing.version(), unconfirmedMs);
        }
        return switch (presented) {
            case PresentedKey.Absent absent -> Refusal.unauthorized("key-absent", "no Authorization header");
            case PresentedKey.Unreadable unreadable -> Refusal.unauthorized("key-unreadable", unreadable.cause());
            case PresentedKey.Key key -> Refusal.unauthorized("key-unknown", "in configuration " + routing.version());
        };
    }
}
