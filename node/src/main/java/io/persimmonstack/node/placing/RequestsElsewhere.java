package io.persimmonstack.node.placing;

import java.util.concurrent.TimeUnit;

/**
 * Requests of other nodes at one runner, as the leader last reported them, and how many they start in a second. Not
 * thread-safe.
 */
final class RequestsElsewhere {
    /** Shortest mean duration of requests for which the estimate holds. */
    private static final double MEAN_DURATION_SECONDS = 1.5;
    /** Interval over which the growth is measured. */
    private static final long GROWTH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Time within which an earlier growth loses most of its weight. */
    private static final double GROWTH_MEMORY_SECONDS = 1;
    /** Time within which an earlier number does; fewer run there for a while if the nodes hold back. */
    private static final double PEAK_MEMORY_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;

    private int requests;
    private long tokens;
    private double peak;
    private double growthPerSecond;
    private boolean observed;
    private long observedNanos;
    private int observedRequests;

    /** Replaces the numbers by those that the leader has reported. */
    void update(int newRequests, long newTokens) {
        requests = newRequests;
        tokens = newTokens;
        peak = Math.max(peak, requests);
    }

    int requests() {
        return requests;
    }

    /** Returns the estimated number of tokens of all these requests. */
    long tokens() {
        return tokens;
    }

    /** Returns the mean number of tokens of these requests, 0 if there are none. */
    double meanTokens() {
        return requests == 0 ? 0 : (double) tokens / requests;
    }

    /** Returns how many requests other nodes start there in a second, by the number in progress and its growth. */
    double startsPerSecond(long nowNanos) {
        observe(nowNanos);
        return peak / MEAN_DURATION_SECONDS + growthPerSecond;
    }

    /** Measures the growth, if enough time has passed; to be called with each report and each use. */
    void observe(long nowNanos) {
        if (!observed) {
            observed = true;
            observedNanos = nowNanos;
            observedRequests = requests;
            return;
        }
        long elapsedNanos = nowNanos - observedNanos;
        if (elapsedNanos < GROWTH_NANOS) {
            return;
        }
        double seconds = elapsedNanos / NANOS_PER_SECOND;
        double growth = (requests - observedRequests) / seconds;
        growthPerSecond = Math.max(growth, growthPerSecond * Math.exp(-seconds / GROWTH_MEMORY_SECONDS));
        peak = Math.max(requests, peak * Math.exp(-seconds / PEAK_MEMORY_SECONDS));
        observedNanos = nowNanos;
        observedRequests = requests;
    }
}
