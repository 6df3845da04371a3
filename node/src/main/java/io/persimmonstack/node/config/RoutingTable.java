package io.persimmonstack.node.config;

import io.persimmonstack.runtime.http.InputLimits;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Routes and services of one version of the configuration. Immutable. */
public final class RoutingTable {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    private final long version;
    private final InputLimits inputLimits;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Optional<WorkspaceKeys> workspaceKeys;
    private final PriorityScale priorities;

    private RoutingTable(
            long version, InputLimits inputLimits, Optional<WorkspaceKeys> workspaceKeys, PriorityScale priorities) {
        this.version = version;
        this.inputLimits = inputLimits;
        this.workspaceKeys = workspaceKeys;
        this.priorities = priorities;
    }

    /** Returns a table without workspaces, with the default limits of requests. */
    public static RoutingTable of(long version, List<Route> routes, List<Service> services) {
        return of(version, routes, services, Optional.empty(), InputLimits.defaults());
    }

    /**
     * Returns a table.
     *
     * @param version version of the configuration; newer versions are higher
     * @param routes all routes
     * @param services all services
     * @param workspaceKeys all workspaces and their keys, empty if no keys are required
     * @param inputLimits limits of the requests of callers
     */
    public static RoutingTable of(
            long version,
            List<Route> routes,
            List<Service> services,
            Optional<WorkspaceKeys> workspaceKeys,
            InputLimits inputLimits) {
        PriorityScale priorities =
                PriorityScale.of(workspaceKeys.map(WorkspaceKeys::workspaces).orElse(List.of()), routes);
        RoutingTable table = new RoutingTable(version, inputLimits, workspaceKeys, priorities);
        for (Route route : routes) {
            table.routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        table.routesByHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
        services.forEach(service -> table.services.put(service.name(), service));
        return table;
    }

    /** Returns the version of the configuration. */
    public long version() {
        return version;
    }

    /** Returns the limits of the requests of callers. */
    public InputLimits inputLimits() {
        return inputLimits;
    }

    /**
     * Returns the route of a host whose prefix is the longest that matches a path.
     *
     * @param host value of the Host header
     * @param path path without query
     * @return the route, empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    /** Returns the named service, empty if the configuration has no such service. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services. */
    public List<Service> services() {
        return List.copyOf(services.values());
    }

    /** Returns the workspaces and their keys; empty if no keys are required. */
    public Optional<WorkspaceKeys> workspaceKeys() {
        return workspaceKeys;
    }

    /** Returns the priority of a request of a workspace, empty if it has none, on a route of this table. */
    public RequestPriority priority(Optional<Workspace> workspace, Route route) {
        return priorities.of(workspace, route);
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }
}
