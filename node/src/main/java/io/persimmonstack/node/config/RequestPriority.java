package io.persimmonstack.node.config;

import java.util.Comparator;

/**
 * Priority of a request: that of its workspace, then that of its route, lower values first.
 *
 * @param workspace priority of the workspace, 0 where none are configured
 * @param route priority of the route
 * @param atRunner value that a runner is told, 0 to {@link #LEAST_URGENT}, 0 is the most urgent
 */
public record RequestPriority(int workspace, int route, int atRunner) implements Comparable<RequestPriority> {
    /** Largest value that a runner can be told. */
    public static final int LEAST_URGENT = 9;

    private static final Comparator<RequestPriority> ORDER =
            Comparator.comparingInt(RequestPriority::workspace).thenComparingInt(RequestPriority::route);

    /** Returns the priority of a request on a route where no workspaces are configured. */
    public static RequestPriority ofRoute(int route) {
        return new RequestPriority(0, route, Math.clamp(route, 0, LEAST_URGENT));
    }

    @Override
    public int compareTo(RequestPriority other) {
        return ORDER.compare(this, other);
    }
}
