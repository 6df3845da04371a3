package io.persimmonstack.node.placing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries for each service within a sliding time window. All nodes together stay within the limit without
 * communicating, even while they are partitioned: each node may retry a share of the requests that it received itself
 * and uses only its part of the slack. Thread-safe.
 */
public final class RetryBudget {
    /** Share of the budget that is used; the rest is a safety margin. */
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

    /** Returns a budget for which no requests and retries have been recorded. */
    public static RetryBudget of(RetryBudgetOptions options) {
        return new RetryBudget(options);
    }

    /** Records that a request for a service was received, which raises the budget. */
    public synchronized void recordRequest(String service, long nowNanos) {
        Window window = window(service, nowNanos);
        window.requests.addLast(nowNanos);
    }

    /**
     * Spends one retry from the budget of a service, if the budget allows it.
     *
     * @param service service that the request would be sent to again
     * @param nodes number of nodes that share the slack, at least 1
     * @param nowNanos current monotonic time
     * @return whether the retry is allowed
     */
    public synchronized boolean trySpend(String service, int nodes, long nowNanos) {
        if (!allows(service, nodes, nowNanos)) {
            return false;
        }
        window(service, nowNanos).retries.addLast(nowNanos);
        return true;
    }

    /**
     * Returns whether the budget of a service allows one more retry at present.
     *
     * @param service service that the request would be sent to again
     * @param nodes number of nodes that share the slack, at least 1
     * @param nowNanos current monotonic time
     */
    public synchronized boolean allows(String service, int nodes, long nowNanos) {
        Window window = window(service, nowNanos);
        double allowed =
                SAFETY_FACTOR * (options.ratio() * window.requests.size() + options.slack() / Math.max(1, nodes));
        return window.retries.size() + 1 <= allowed;
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
