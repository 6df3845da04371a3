package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Attempts at one request so far, and whether another may follow. Pure: the time comes in as an argument. */
final class RetryState {
    private static final int MAX_SENDS = 6;
    private static final int MIN_REMAINING_MS = 20;
    private static final int MS_PER_OUTPUT_TOKEN = 7;
    static final int NEXT_EVENT_TIMEOUT_MS = 1_000;
    private static final int MIN_WHOLE_ANSWER_TIMEOUT_MS = 250;
    private static final double IDLE_TIMEOUT_SHARE = 0.9;
    /** Leaves a refused caller time to come back. */
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

    /** Returns whether a runner may have worked on the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the runners that the request must not go to again. */
    Set<String> excluded() {
        return Set.copyOf(excluded);
    }

    /**
     * Takes the outcome of an attempt.
     *
     * @param runner runner of the last attempt
     * @param outcome how it ended
     * @param nowNanos monotonic time
     * @return whether another attempt is allowed: always after a promise that the request did not run, and otherwise
     *     for idempotent requests as long as their route allows more possibleRuns
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

    /** Returns the time after which starting the request at a runner is in vain, by the monotonic clock. */
    long latestStartNanos() {
        long generationMs = (long) request.caller().tokens().likelyOutput() * MS_PER_OUTPUT_TOKEN;
        long latestNanos = request.deadlineNanos() - TimeUnit.MILLISECONDS.toNanos(generationMs);
        if (!request.isStream()) {
            return latestNanos;
        }
        long callerLimitMs =
                request.caller().timeLimitMs().orElse(request.route().timeoutMs());
        long maxWaitMs = Math.round(
                Math.min(IDLE_TIMEOUT_SHARE * request.streamIdleTimeoutMs(), TIME_LIMIT_SHARE * callerLimitMs));
        return Math.min(latestNanos, request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(maxWaitMs));
    }

    /**
     * Returns how long a runner may be silent before the attempt is given up, in milliseconds.
     *
     * @param streamStarted whether the caller has the first event
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
