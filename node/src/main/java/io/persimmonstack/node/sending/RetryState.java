package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the attempts at one request and decides whether, until when and with which timeout it may be sent again. The
 * caller supplies the time. Not thread-safe.
 */
final class RetryState {
    private static final int MAX_SENDS = 6;
    /** Time before the deadline within which a request is not sent again. */
    private static final int MIN_REMAINING_MS = 20;
    /** Assumed generation time of a token of the answer. */
    private static final int MS_PER_OUTPUT_TOKEN = 7;
    /** Idle timeout between two events of a stream that another runner can resume. */
    static final int NEXT_EVENT_TIMEOUT_MS = 1_000;

    private static final int MIN_WHOLE_ANSWER_TIMEOUT_MS = 250;
    /** Share of the caller's idle timeout after which a stream is not started any more. */
    private static final double IDLE_TIMEOUT_SHARE = 0.9;
    /** Share of the time limit that a stream may wait; the rest lets a refused caller retry within its limit. */
    private static final double TIME_LIMIT_SHARE = 0.7;

    private final ActiveRequest request;
    private final SendTracker sends;
    private final Set<String> excluded = new HashSet<>();
    private int possibleRuns;
    private boolean mayHaveRun;

    RetryState(ActiveRequest request, SendTracker sends) {
        this.request = request;
        this.sends = sends;
    }

    void recordSend(Runner runner) {
        sends.recordSend(runner.id());
    }

    int sendCount() {
        return sends.count();
    }

    /** Returns whether a runner may have run the request, in full or in part. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the identifiers of runners that may have run the request and must not get it again. */
    Set<String> excluded() {
        return Set.copyOf(excluded);
    }

    /**
     * Records the outcome of the last attempt and returns whether another one may follow. A request that did not run
     * may be sent again. One that may have run is sent again only if it is idempotent and its route allows more
     * attempts. Neither is sent again after {@code MAX_SENDS} sends or shortly before the deadline.
     *
     * @param runner runner of the last attempt
     * @param outcome how it ended
     * @param nowNanos monotonic time
     * @return whether another attempt may follow
     */
    boolean mayRetryAfter(Runner runner, Outcome outcome, long nowNanos) {
        boolean possiblyRan = outcome.notRunCause().isEmpty();
        if (possiblyRan) {
            excluded.add(runner.id());
            possibleRuns++;
            mayHaveRun = true;
        }
        boolean allowed = !possiblyRan
                || request.route().isIdempotent()
                        && possibleRuns < request.route().maxAttempts();
        return allowed && sends.count() < MAX_SENDS && request.remainingMs(nowNanos) > MIN_REMAINING_MS;
    }

    /**
     * Returns the latest monotonic time at which a runner may start the request. Later, the answer would miss the
     * deadline, or the first event of a stream would come after its caller gave up.
     */
    long latestStartNanos() {
        long generationMs = (long) request.callerRequest().tokens().likelyOutput() * MS_PER_OUTPUT_TOKEN;
        long latestNanos = request.deadlineNanos() - TimeUnit.MILLISECONDS.toNanos(generationMs);
        if (!request.isStream()) {
            return latestNanos;
        }
        long callerLimitMs =
                request.callerRequest().timeLimitMs().orElse(request.route().timeoutMs());
        long maxWaitMs = Math.round(
                Math.min(IDLE_TIMEOUT_SHARE * request.streamIdleTimeoutMs(), TIME_LIMIT_SHARE * callerLimitMs));
        return Math.min(latestNanos, request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(maxWaitMs));
    }

    /**
     * Returns the idle timeout of the next attempt, in milliseconds: how long its runner may send nothing before the
     * attempt is abandoned. The last attempt has no limit other than the deadline, since no other could follow it.
     *
     * @param streamStarted whether the caller has received an event of the stream
     */
    long idleTimeoutMs(boolean streamStarted) {
        if (!request.route().isIdempotent()
                || possibleRuns + 1 >= request.route().maxAttempts()) {
            return Long.MAX_VALUE;
        }
        if (!request.isStream()) {
            return Math.max(MIN_WHOLE_ANSWER_TIMEOUT_MS, request.route().timeoutMs() / 2);
        }
        return streamStarted
                ? NEXT_EVENT_TIMEOUT_MS
                : Math.max(NEXT_EVENT_TIMEOUT_MS, request.streamIdleTimeoutMs() / 2);
    }
}
