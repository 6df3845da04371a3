package io.persimmonstack.node.config;

import java.util.List;

/**
 * Rules for the requests to one Host header value and path prefix.
 *
 * @param name name of the route
 * @param host value of the Host header
 * @param prefix path prefix, which starts and ends with a slash
 * @param kind form of the answers, and whether requests are idempotent
 * @param resumable whether a stream can be resumed on another runner after its last delivered event
 * @param timeoutMs longest time from the receipt of a request to its answer, in milliseconds; 0 for no deadline
 * @param targetLatencyMs target for the time to the answer, for streams to the first event, in milliseconds
 * @param maxGapMs target for the longest pause between two events of a stream, in milliseconds; 0 if not configured
 * @param priority priority of its requests, 0 is the most urgent
 * @param maxAttempts most runners that may run one idempotent request
 * @param authExempt whether requests need no key of a workspace
 * @param shares services among which its requests are split
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        boolean resumable,
        int timeoutMs,
        int targetLatencyMs,
        int maxGapMs,
        int priority,
        int maxAttempts,
        boolean authExempt,
        List<ServiceShare> shares) {
    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
    }

    /** Creates a route that is not exempt from keys. */
    public Route(
            String name,
            String host,
            String prefix,
            RouteKind kind,
            boolean resumable,
            int timeoutMs,
            int targetLatencyMs,
            int maxGapMs,
            int priority,
            int maxAttempts,
            List<ServiceShare> shares) {
        this(
                name,
                host,
                prefix,
                kind,
                resumable,
                timeoutMs,
                targetLatencyMs,
                maxGapMs,
                priority,
                maxAttempts,
                false,
                shares);
    }

    /** Returns whether a request may safely run more than once. */
    public boolean isIdempotent() {
        return kind == RouteKind.SAFE || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Picks the service for a request in proportion to the weights of the shares.
     *
     * @param draw random number from 0 inclusive to 1 exclusive
     * @return name of the service
     * @throws java.util.NoSuchElementException if the route has no shares
     */
    public String pickService(double draw) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double remaining = draw * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
