package io.persimmonstack.node.config;

import java.util.Collection;
import java.util.Optional;

/**
 * Combines the priorities of workspaces and routes of one configuration. What runners are told is the rank of the pair
 * among all pairs of the configuration, so that the workspace outweighs the route in the ten values that there are.
 * With more than ten pairs, neighbouring ones share a value. Immutable.
 */
final class PriorityScale {
    private static final int VALUES = RequestPriority.LEAST_URGENT + 1;
    private final int[] workspacePriorities;
    private final int[] routePriorities;

    private PriorityScale(int[] workspacePriorities, int[] routePriorities) {
        this.workspacePriorities = workspacePriorities;
        this.routePriorities = routePriorities;
    }

    /** Returns the scale of a configuration; without workspaces only the priorities of the routes count. */
    static PriorityScale of(Collection<Workspace> workspaces, Collection<Route> routes) {
        return new PriorityScale(
                workspaces.stream()
                        .mapToInt(Workspace::priority)
                        .distinct()
                        .sorted()
                        .toArray(),
                routes.stream().mapToInt(Route::priority).distinct().sorted().toArray());
    }

    /**
     * Returns the priority of a request. One without a workspace, as exempt routes allow, gets that of the least urgent
     * workspace: it must not be worth leaving the key out.
     */
    RequestPriority of(Optional<Workspace> workspace, Route route) {
        if (workspacePriorities.length == 0) {
            return RequestPriority.ofRoute(route.priority());
        }
        int workspacePriority =
                workspace.map(Workspace::priority).orElse(workspacePriorities[workspacePriorities.length - 1]);
        int rank = rank(workspacePriorities, workspacePriority) * routePriorities.length
                + rank(routePriorities, route.priority());
        int pairs = workspacePriorities.length * routePriorities.length;
        int atRunner = pairs <= VALUES ? rank : (int) ((long) rank * VALUES / pairs);
        return new RequestPriority(workspacePriority, route.priority(), atRunner);
    }

    private static int rank(int[] sorted, int value) {
        int rank = 0;
        while (rank < sorted.length - 1 && sorted[rank] < value) {
            rank++;
        }
        return rank;
    }
}
