package io.persimmonstack.coordination.cap;

/**
 * The cap of a workspace as one bucket for the whole fleet, which is always reachable. A request larger than the burst
 * is admitted when the bucket is full, and leaves a debt.
 */
final class ExactBucket {
    private static final double MS_PER_SECOND = 1_000;
    private final double rate;
    private final double burst;
    private double level;
    private long updatedMs;

    ExactBucket(double rate, double burst) {
        this.rate = rate;
        this.burst = burst;
        this.level = burst;
    }

    /** Returns whether a request has room now. */
    boolean hasRoom(double need, long nowMs) {
        level = Math.min(burst, level + rate * (nowMs - updatedMs) / MS_PER_SECOND);
        updatedMs = nowMs;
        return level >= Math.min(need, burst);
    }

    /** Counts a request. */
    void take(double need, long nowMs) {
        hasRoom(need, nowMs);
        level -= need;
    }
}
