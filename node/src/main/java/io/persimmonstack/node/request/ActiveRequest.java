package io.persimmonstack.node.request;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.Service;
import java.util.concurrent.TimeUnit;

/**
 * Request on its way through the node.
 *
 * @param caller what the caller sent
 * @param route route that it matched
 * @param service service that serves it
 * @param receivedNanos when it had been received whole, by the monotonic clock
 */
public record ActiveRequest(CallerRequest caller, Route route, Service service, long receivedNanos) {
    private static final int MIN_STREAM_IDLE_TIMEOUT_MS = 2_000;
    private static final int TARGET_LATENCY_FACTOR = 4;
    private static final int MAX_GAP_FACTOR = 8;

    /** Returns the time by which the caller must have its final answer, by the monotonic clock. */
    public long deadlineNanos() {
        int timeoutMs = route.timeoutMs() > 0 ? route.timeoutMs() : Integer.MAX_VALUE;
        int maxWaitMs = Math.min(timeoutMs, caller.timeLimitMs().orElse(timeoutMs));
        return receivedNanos + TimeUnit.MILLISECONDS.toNanos(maxWaitMs);
    }

    /** Returns the milliseconds left until the deadline, negative after it. */
    public long remainingMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos() - nowNanos);
    }

    /** Returns the longest pause that the caller of a stream accepts before or between events, in milliseconds. */
    public int streamIdleTimeoutMs() {
        int fromTargetLatencyMs = TARGET_LATENCY_FACTOR * route.targetLatencyMs();
        int fromMaxGapMs = MAX_GAP_FACTOR * route.maxGapMs();
        return Math.max(MIN_STREAM_IDLE_TIMEOUT_MS, Math.max(fromTargetLatencyMs, fromMaxGapMs));
    }

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return route.kind() == RouteKind.STREAM;
    }
}
