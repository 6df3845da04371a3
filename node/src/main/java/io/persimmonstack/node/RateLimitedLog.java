package io.persimmonstack.node;

import io.persimmonstack.runtime.event.EventLog;
import java.util.EnumMap;
import java.util.Map;

/**
 * Event log with a token bucket for each kind of event, for events that occur per request. Suppressed lines are counted
 * and reported by {@link NodeEvent#SUPPRESSED} before the next line of that kind. Thread-safe.
 */
public final class RateLimitedLog {
    private static final double MAX_LINES_PER_SECOND = 40;
    private static final double BURST_LINES = 200;
    private static final double NANOS_PER_SECOND = 1e9;
    private final EventLog log;
    private final Map<NodeEvent, Bucket> buckets = new EnumMap<>(NodeEvent.class);

    private static final class Bucket {
        private double tokens = BURST_LINES;
        private long refilledNanos;
        private long suppressed;
    }

    private RateLimitedLog(EventLog log) {
        this.log = log;
    }

    /** Returns a rate-limited log that writes to the given one. */
    public static RateLimitedLog wrapping(EventLog log) {
        return new RateLimitedLog(log);
    }

    /**
     * Writes an event unless its kind has exceeded the rate limit.
     *
     * @param event what happened
     * @param arguments values for the placeholders
     */
    public void write(NodeEvent event, Object... arguments) {
        long suppressed = acquire(event, System.nanoTime());
        if (suppressed < 0) {
            return;
        }
        if (suppressed > 0) {
            log.write(NodeEvent.SUPPRESSED, event.number(), suppressed);
        }
        log.write(event, arguments);
    }

    /**
     * Takes a token for one line.
     *
     * @return how many lines were suppressed since the last one written, or -1 if this line is suppressed too
     */
    private synchronized long acquire(NodeEvent event, long nowNanos) {
        Bucket bucket = buckets.computeIfAbsent(event, ignored -> new Bucket());
        double elapsedSeconds = bucket.refilledNanos == 0 ? 0 : (nowNanos - bucket.refilledNanos) / NANOS_PER_SECOND;
        bucket.tokens = Math.min(BURST_LINES, bucket.tokens + elapsedSeconds * MAX_LINES_PER_SECOND);
        bucket.refilledNanos = nowNanos;
        if (bucket.tokens < 1) {
            bucket.suppressed++;
            return -1;
        }
        bucket.tokens--;
        long suppressed = bucket.suppressed;
        bucket.suppressed = 0;
        return suppressed;
    }
}
