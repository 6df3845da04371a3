package io.persimmonstack.node;

import io.persimmonstack.runtime.event.EventLog;
import java.util.EnumMap;
import java.util.Map;

/** Writes events of which there may be many, each kind at a bounded rate; says how many it left out. */
public final class BoundedLog {
    private static final double LINES_PER_SECOND = 40;
    private static final double BURST_LINES = 200;
    private static final double NANOS_PER_SECOND = 1e9;
    private final EventLog log;
    private final Map<NodeEvent, Bucket> buckets = new EnumMap<>(NodeEvent.class);

    private static final class Bucket {
        private double lines = BURST_LINES;
        private long filledNanos;
        private long leftOut;
    }

    private BoundedLog(EventLog log) {
        this.log = log;
    }

    /** Returns a log over another one. */
    public static BoundedLog over(EventLog log) {
        return new BoundedLog(log);
    }

    /**
     * Writes an event unless too many of its kind were written lately.
     *
     * @param event what happened
     * @param arguments values for the placeholders
     */
    public void write(NodeEvent event, Object... arguments) {
        long leftOut = take(event, System.nanoTime());
        if (leftOut < 0) {
            return;
        }
        if (leftOut > 0) {
            log.write(NodeEvent.SUPPRESSED, event.number(), leftOut);
        }
        log.write(event, arguments);
    }

    /** Returns how many lines were left out before this one, negative where this one is left out too. */
    private synchronized long take(NodeEvent event, long nowNanos) {
        Bucket bucket = buckets.computeIfAbsent(event, ignored -> new Bucket());
        double seconds = bucket.filledNanos == 0 ? 0 : (nowNanos - bucket.filledNanos) / NANOS_PER_SECOND;
        bucket.lines = Math.min(BURST_LINES, bucket.lines + seconds * LINES_PER_SECOND);
        bucket.filledNanos = nowNanos;
        if (bucket.lines < 1) {
            bucket.leftOut++;
            return -1;
        }
        bucket.lines--;
        long leftOut = bucket.leftOut;
        bucket.leftOut = 0;
        return leftOut;
    }
}
