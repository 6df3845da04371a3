package io.persimmonstack.node.planning;

/** Measures events per second as an exponentially decaying average. Callers pass the time. Not thread-safe. */
final class RateMeter {
    /** Time constant of the decay. */
    private static final double WINDOW_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;
    private double perSecond;
    private long updatedNanos;

    /** Adds events that occurred since the previous call. */
    void add(int events, long nowNanos) {
        perSecond = perSecond(nowNanos) + events / WINDOW_SECONDS;
        updatedNanos = nowNanos;
    }

    /** Returns the rate at the given monotonic time, in events per second. */
    double perSecond(long nowNanos) {
        double elapsedSeconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        return perSecond == 0 ? 0 : perSecond * Math.exp(-elapsedSeconds / WINDOW_SECONDS);
    }
}
