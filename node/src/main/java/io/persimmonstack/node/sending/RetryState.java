package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.RunnerFilter;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.HashSet;
import java.util.Optional;
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

    private static final int MIN_WHOLE_ANSWER_SILENCE_MS = 250;
    /** Share of the time limit after which a runner without a whole answer counts as silent. */
    private static final double WHOLE_ANSWER_SILENCE_SHARE = 0.5;
    /** Share of the caller's idle timeout after which a stream's runner counts as silent; a successor has the rest. */
    private static final double STREAM_SILENCE_SHARE = 0.7;
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
        sends.recordSend(runner);
    }

    int sendCount() {
        return sends.count();
    }

    /** Returns how many runners may have run the request, in full or in part. */
    int possibleRuns() {
        return possibleRuns;
    }

    /** Returns whether a runner may have run the request, in full or in part. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns which runners may get the request next: none that may have run it.
     *
     * @param softwareVersion the only software version at which its stream may go on, empty before the first event
     */
    RunnerFilter runnerFilter(Optional<String> softwareVersion) {
        return new RunnerFilter(excluded, softwareVersion);
    }

    /** Returns whether the present attempt may be replaced by one at another runner, although it may have run. */
    boolean mayReplace(long nowNanos) {
        return request.route().isIdempotent()
                && possibleRuns + 1 < request.route().maxAttempts()
                && maySendAgain(nowNanos);
    }

    private boolean maySendAgain(long nowNanos) {
        return sends.count() < MAX_SENDS && request.remainingMs(nowNanos) > MIN_REMAINING_MS;
    }

    /** Records that the runner of the last attempt may have run the request. */
    void recordPossibleRun(Runner runner) {
        excluded.add(runner.id());
        possibleRuns++;
        mayHaveRun = true;
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
            recordPossibleRun(runner);
        }
        boolean allowed = !possiblyRan
                || request.route().isIdempotent()
                        && possibleRuns < request.route().maxAttempts();
        return allowed && maySendAgain(nowNanos);
    }

    /**
     * Returns the latest monotonic time at which a runner may start the request or go on with its stream. Later, the
     * answer would miss the deadline, or the next event of a stream would come after its caller gave up.
     *
     * @param progress what the caller has received of a stream
     */
    long latestStartNanos(StreamProgress progress) {
        if (progress.hasStarted()) {
            return Math.min(request.deadlineNanos(), progress.waitingSinceNanos() + maxStreamWaitNanos());
        }
        long generationMs = (long) request.callerRequest().tokens().likelyOutput() * MS_PER_OUTPUT_TOKEN;
        long latestNanos = request.deadlineNanos() - TimeUnit.MILLISECONDS.toNanos(generationMs);
        if (!request.isStream()) {
            return latestNanos;
        }
        long callerLimitMs = request.callerRequest().timeLimitMs().orElse(request.timeLimitMs());
        long maxWaitNanos = TimeUnit.MILLISECONDS.toNanos(Math.round(TIME_LIMIT_SHARE * callerLimitMs));
        return Math.min(latestNanos, request.receivedNanos() + Math.min(maxStreamWaitNanos(), maxWaitNanos));
    }

    private long maxStreamWaitNanos() {
        return TimeUnit.MILLISECONDS.toNanos(Math.round(IDLE_TIMEOUT_SHARE * request.streamIdleTimeoutMs()));
    }

    /**
     * Returns after how long without any data a runner counts as silent, in milliseconds, so that another one may
     * replace it.
     *
     * @param streamStarted whether the caller has received an event of the stream
     */
    int silentAfterMs(boolean streamStarted) {
        if (!request.isStream()) {
            return (int) Math.max(MIN_WHOLE_ANSWER_SILENCE_MS, WHOLE_ANSWER_SILENCE_SHARE * request.timeLimitMs());
        }
        int callerTimeoutMs = streamStarted
                ? request.streamIdleTimeoutMs()
                : Math.min(request.streamIdleTimeoutMs(), request.timeLimitMs());
        return (int) Math.round(STREAM_SILENCE_SHARE * callerTimeoutMs);
    }
}
