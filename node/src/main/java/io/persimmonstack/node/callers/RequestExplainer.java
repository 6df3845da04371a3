package io.persimmonstack.node.callers;

import io.persimmonstack.node.caps.CapAdmission;
import io.persimmonstack.node.caps.CapOutlook;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.config.WorkspaceKeys;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Leader;
import io.persimmonstack.node.placing.PlacementOutlook;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.planning.LoadForecast;
import io.persimmonstack.node.prompts.PromptGuard;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.runtime.NearestMatch;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Explains where a request would go now, by the decisions that {@link RequestServer} and what follows it make. Changes
 * no state, takes no tokens and sends nothing. Thread-safe; does not block on other nodes or the store.
 *
 * @param node name of this node
 * @param zone its availability zone
 * @param fleet what it knows of the fleet
 * @param placer places requests
 * @param caps admits requests of workspaces
 * @param prompts refuses prompts that end runners
 * @param workspaces checks keys
 * @param drainState decides which requests a stopping node accepts
 * @param applyMs time limit within which a new configuration must take effect, in milliseconds
 * @param leaderAgeMs age of the last answer of a leader, in milliseconds; empty if none has answered
 */
public record RequestExplainer(
        String node,
        String zone,
        FleetView fleet,
        Placer placer,
        CapAdmission caps,
        PromptGuard prompts,
        WorkspaceCheck workspaces,
        DrainState drainState,
        int applyMs,
        Supplier<OptionalLong> leaderAgeMs) {
    /**
     * Explains a request.
     *
     * @param request request as it would be received now
     * @param workspaceName name of the workspace whose key it would have, empty for none
     * @throws ExplainException if there is no such workspace
     */
    public Explanation explain(CallerRequest request, Optional<String> workspaceName) throws ExplainException {
        long nowNanos = System.nanoTime();
        Fleet current = fleet.current();
        Explanation.View view = view(current, nowNanos);
        if (!current.isInitialised()) {
            return Explanation.refused(view, Optional.empty(), RouteRefusals.fleetUnknown());
        }
        RoutingTable routing = current.routing().orElseThrow();
        Optional<Workspace> workspace = workspace(workspaceName, routing);
        Optional<Route> route = routing.route(request.host(), request.path());
        if (route.isEmpty()) {
            long unconfirmedMs = fleet.routingUnconfirmedMs(nowNanos);
            Refusal refusal = RouteRefusals.noRoute(request, routing, unconfirmedMs, applyMs);
            return Explanation.refused(view, route, refusal);
        }
        boolean needsKey = routing.workspaceKeys().isPresent() && !route.get().authExempt();
        Optional<CapOutlook> cap = caps.outlook(workspace, request);
        Optional<Refusal> refusal = (needsKey
                        ? workspaces.refusal(workspace, routing, nowNanos)
                        : Optional.<Refusal>empty())
                .or(() -> cap.flatMap(CapOutlook::refusal))
                .or(() -> prompts.refusal(request));
        List<Explanation.ServiceOutlook> services = route.get().shares().stream()
                .map(share -> service(share, request, route.get(), workspace, current, nowNanos))
                .toList();
        return new Explanation(view, route, workspace, cap, refusal, services);
    }

    private static Optional<Workspace> workspace(Optional<String> name, RoutingTable routing) throws ExplainException {
        if (name.isEmpty()) {
            return Optional.empty();
        }
        List<Workspace> known =
                routing.workspaceKeys().map(WorkspaceKeys::workspaces).orElse(List.of());
        Optional<Workspace> found = known.stream()
                .filter(workspace -> workspace.name().equals(name.get()))
                .findFirst();
        if (found.isEmpty()) {
            String hint = NearestMatch.hint(
                    name.get(), known.stream().map(Workspace::name).toList());
            throw new ExplainException(
                    "workspace", name.get(), "a workspace of configuration " + routing.version() + hint);
        }
        return found;
    }

    private Explanation.ServiceOutlook service(
            ServiceShare share,
            CallerRequest callerRequest,
            Route route,
            Optional<Workspace> workspace,
            Fleet current,
            long nowNanos) {
        RoutingTable routing = current.routing().orElseThrow();
        Optional<Service> service = routing.service(share.service());
        if (service.isEmpty()) {
            return new Explanation.ServiceOutlook(
                    share.service(),
                    share.weight(),
                    Optional.empty(),
                    Optional.of(RouteRefusals.noService(share.service())),
                    OptionalLong.empty());
        }
        ActiveRequest request = new ActiveRequest(
                ModelCheck.requestFor(service.get(), callerRequest),
                route,
                service.get(),
                Optional.empty(),
                nowNanos,
                workspace,
                routing.priority(workspace, route));
        Optional<Refusal> refusal = ModelCheck.refusal(
                        service.get(), callerRequest, routing, fleet.routingUnconfirmedMs(nowNanos), applyMs)
                .or(() -> drainState.accepts(request, nowNanos)
                        ? Optional.empty()
                        : Optional.of(RouteRefusals.leaving()));
        PlacementOutlook placement = placer.outlook(request);
        OptionalLong expectedLoadMs =
                placement.choice().isPresent() || placement.expectedLoadMs().isPresent()
                        ? placement.expectedLoadMs()
                        : forecastMs(service.get(), callerRequest, current);
        return new Explanation.ServiceOutlook(
                share.service(), share.weight(), Optional.of(placement), refusal, expectedLoadMs);
    }

    /** Returns when the model could be loaded, by what this node knows itself. */
    private static OptionalLong forecastMs(Service service, CallerRequest request, Fleet current) {
        if (service.engine().isEmpty() || request.model().isEmpty()) {
            return OptionalLong.empty();
        }
        return LoadForecast.earliestMs(
                service.name(),
                service.engine().get(),
                current.runnersOf(service.name()),
                request.model().get());
    }

    private Explanation.View view(Fleet current, long nowNanos) {
        Optional<RoutingTable> routing = current.routing();
        return new Explanation.View(
                node,
                zone,
                routing.map(known -> OptionalLong.of(known.version())).orElse(OptionalLong.empty()),
                routing.isPresent() ? OptionalLong.of(fleet.routingUnconfirmedMs(nowNanos)) : OptionalLong.empty(),
                fleet.runnersUnconfirmedMs(nowNanos),
                current.leader().map(Leader::node),
                leaderAgeMs.get());
    }
}
