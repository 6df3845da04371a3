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
    private static final int LEAST_STREAM_PATIENCE_MS = 2_000;
    private static final int TARGETS_OF_PATIENCE = 4;
    private static final int GAPS_OF_PATIENCE = 8;

    /** Returns the time by which the caller must have its final answer, by the monotonic clock. */
    public long deadlineNanos() {
        int timeoutMs = route.timeoutMs() > 0 ? route.timeoutMs() : Integer.MAX_VALUE;
        int waitMs = Math.min(timeoutMs, caller.timeLimitMs().orElse(timeoutMs));
        return receivedNanos + TimeUnit.MILLISECONDS.toNanos(waitMs);
    }

    /** Returns the milliseconds left until the deadline, negative after it. */
    public long leftMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos() - nowNanos);
    }

    /** Returns the longest pause that the caller of a stream accepts before or between events, in milliseconds. */
    public int patienceMs() {
        int ofTarget = TARGETS_OF_PATIENCE * route.targetLatencyMs();
        int ofGap = GAPS_OF_PATIENCE * route.maxGapMs();
        return Math.max(LEAST_STREAM_PATIENCE_MS, Math.max(ofTarget, ofGap));
    }

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return route.kind() == RouteKind.STREAM;
    }
}
