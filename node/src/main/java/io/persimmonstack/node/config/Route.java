package io.persimmonstack.node.config;

import java.util.List;

/**
 * Requests of one host below one path prefix.
 *
 * @param name name of the route
 * @param host value of the Host header
 * @param prefix beginning of the path, with a slash first and last
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another runner after its last event
 * @param timeoutMs longest time that a request is kept waiting, in milliseconds
 * @param targetLatencyMs time within which an answer is on time, for streams to the first event, in milliseconds
 * @param maxGapMs longest pause between two events of a stream that is on time, in milliseconds; 0 where not stated
 * @param priority rank, 0 first
 * @param maxAttempts most runners that one request may be sent to
 * @param shares services that its requests go to
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
        List<ServiceShare> shares) {
    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
    }

    /** Returns whether a request may run more than once. */
    public boolean isIdempotent() {
        return kind == RouteKind.SAFE || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns the service for one request.
     *
     * @param draw number from 0 to below 1 that picks among the shares
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
