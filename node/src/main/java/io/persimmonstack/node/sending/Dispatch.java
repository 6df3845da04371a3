package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Attempts at one request so far, and whether another may follow. Pure: the time comes in as an argument. */
final class Dispatch {
    private static final int MAX_SENDS = 6;
    private static final int LEAST_LEFT_MS = 20;
    private static final int MS_PER_OUTPUT_TOKEN = 7;
    static final int NEXT_EVENT_MS = 1_000;
    private static final int LEAST_SAFE_SILENCE_MS = 250;
    private static final double PATIENCE_SHARE = 0.9;
    /** Leaves a refused caller time to come back. */
    private static final double WAIT_SHARE = 0.7;

    private final ActiveRequest request;
    private final Sends sends;
    private final Set<String> excluded = new HashSet<>();
    private int runs;
    private boolean mayHaveRun;

    Dispatch(ActiveRequest request, Sends sends) {
        this.request = request;
        this.sends = sends;
    }

    void sentTo(Runner runner) {
        sends.sentTo(runner.id());
    }

    int sends() {
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
     *     for idempotent requests as long as their route allows more runs
     */
    boolean mayRepeat(Runner runner, Outcome outcome, long nowNanos) {
        boolean ran = outcome.notRunCause().isEmpty();
        if (ran) {
            excluded.add(runner.id());
            runs++;
            mayHaveRun = true;
        }
        boolean allowed =
                !ran || request.route().isIdempotent() && runs < request.route().maxAttempts();
        return allowed && sends.count() < MAX_SENDS && request.leftMs(nowNanos) > LEAST_LEFT_MS;
    }

    /** Returns the time after which starting the request at a runner is in vain, by the monotonic clock. */
    long latestStartNanos() {
        long runMs = (long) request.caller().tokens().likelyOutput() * MS_PER_OUTPUT_TOKEN;
        long latest = request.deadlineNanos() - TimeUnit.MILLISECONDS.toNanos(runMs);
        if (!request.isStream()) {
            return latest;
        }
        long limitMs = request.caller().timeLimitMs().orElse(request.route().timeoutMs());
        long waitMs = Math.round(Math.min(PATIENCE_SHARE * request.patienceMs(), WAIT_SHARE * limitMs));
        return Math.min(latest, request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs));
    }

    /**
     * Returns how long a runner may be silent before the attempt is given up, in milliseconds.
     *
     * @param begun whether the caller has the first event
     */
    long silenceMs(boolean begun) {
        if (!request.route().isIdempotent() || runs + 1 >= request.route().maxAttempts()) {
            return Long.MAX_VALUE;
        }
        if (!request.isStream()) {
            return Math.max(LEAST_SAFE_SILENCE_MS, request.route().timeoutMs() / 2);
        }
        return begun ? NEXT_EVENT_MS : Math.max(NEXT_EVENT_MS, request.patienceMs() / 2);
    }
}
