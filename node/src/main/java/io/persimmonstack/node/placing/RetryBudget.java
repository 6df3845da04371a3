package io.persimmonstack.node.placing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often requests are sent again to one service, so that all nodes together stay within a share of the
 * requests even while they cannot speak to each other: each node may add a part of the slack, and a share of the
 * requests that it received itself.
 */
public final class RetryBudget {
    private static final double SAFETY_FACTOR = 0.8;
    private final RetryBudgetOptions options;
    private final Map<String, Window> windows = new HashMap<>();

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();
    }

    private RetryBudget(RetryBudgetOptions options) {
        this.options = options;
    }

    /** Returns a budget with nothing counted. */
    public static RetryBudget of(RetryBudgetOptions options) {
        return new RetryBudget(options);
    }

    /** Counts a request for a service. */
    public synchronized void recordRequest(String service, long nowNanos) {
        Window window = window(service, nowNanos);
        window.requests.addLast(nowNanos);
    }

    /**
     * Takes the means for one repeat.
     *
     * @param service service that the request is sent to again
     * @param nodes nodes that share the slack, at least 1
     * @param nowNanos monotonic time
     * @return whether there were any
     */
    public synchronized boolean spend(String service, int nodes, long nowNanos) {
        Window window = window(service, nowNanos);
        double allowed =
                SAFETY_FACTOR * (options.ratio() * window.requests.size() + options.slack() / Math.max(1, nodes));
        if (window.retries.size() + 1 > allowed) {
            return false;
        }
        window.retries.addLast(nowNanos);
        return true;
    }

    private Window window(String service, long nowNanos) {
        Window window = windows.computeIfAbsent(service, name -> new Window());
        expire(window.requests, nowNanos);
        expire(window.retries, nowNanos);
        return window;
    }

    private void expire(Deque<Long> timestamps, long nowNanos) {
        while (!timestamps.isEmpty() && nowNanos - timestamps.peekFirst() > options.windowNanos()) {
            timestamps.removeFirst();
        }
    }
}
