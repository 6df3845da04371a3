package io.persimmonstack.node.request;

import io.persimmonstack.node.config.RequestPriority;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.streams.StreamOrigin;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Request being served, with its resolved route and service.
 *
 * @param callerRequest request as the caller sent it
 * @param route route that it matched
 * @param service service picked for it
 * @param origin where the stream began that it resumes, empty if it starts anew
 * @param receivedNanos monotonic time at which it was received completely
 * @param workspace workspace of its key, empty if it has none or none are configured
 * @param priority priority over other requests
 */
public record ActiveRequest(
        CallerRequest callerRequest,
        Route route,
        Service service,
        Optional<StreamOrigin> origin,
        long receivedNanos,
        Optional<Workspace> workspace,
        RequestPriority priority) {
    private static final int MIN_STREAM_IDLE_TIMEOUT_MS = 2_000;
    /** Smallest idle timeout of a stream, as a multiple of the latency target of its route. */
    private static final int TARGET_LATENCY_FACTOR = 4;
    /** Smallest idle timeout of a stream, as a multiple of the largest gap between events that its route targets. */
    private static final int MAX_GAP_FACTOR = 8;

    /** Creates a request without a workspace, with the priority of its route. */
    public ActiveRequest(
            CallerRequest callerRequest,
            Route route,
            Service service,
            Optional<StreamOrigin> origin,
            long receivedNanos) {
        this(
                callerRequest,
                route,
                service,
                origin,
                receivedNanos,
                Optional.empty(),
                RequestPriority.ofRoute(route.priority()));
    }

    /** Returns the time limit of the final answer, in milliseconds: the route's timeout or the caller's, if shorter. */
    public int timeLimitMs() {
        int timeoutMs = route.timeoutMs() > 0 ? route.timeoutMs() : Integer.MAX_VALUE;
        return Math.min(timeoutMs, callerRequest.timeLimitMs().orElse(timeoutMs));
    }

    /** Returns the monotonic deadline of the final answer. */
    public long deadlineNanos() {
        return receivedNanos + TimeUnit.MILLISECONDS.toNanos(timeLimitMs());
    }

    /** Returns the time left until the deadline, in milliseconds; negative after it. */
    public long remainingMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos() - nowNanos);
    }

    /**
     * Returns the idle timeout of a stream, in milliseconds: the longest pause that its caller accepts before the first
     * or between two events.
     */
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
