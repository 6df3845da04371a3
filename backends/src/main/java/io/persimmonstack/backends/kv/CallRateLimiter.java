package io.persimmonstack.backends.kv;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.concurrent.TimeUnit;

/** Token bucket that lets calls of one second begin at once and spreads the rest. */
final class CallRateLimiter {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private final TimeSource time;
    private long nanosPerCall;
    private long burstNanos;
    private long nextStartNanos;

    private CallRateLimiter(TimeSource time, int callsPerSecond) {
        this.time = time;
        setCallsPerSecond(callsPerSecond);
        this.nextStartNanos = time.nanoTime() - burstNanos;
    }

    static CallRateLimiter ofCallsPerSecond(int callsPerSecond, TimeSource time) {
        return new CallRateLimiter(time, callsPerSecond);
    }

    /** Changes the rate; calls that were reserved keep their times. */
    synchronized void setCallsPerSecond(int callsPerSecond) {
        nanosPerCall = NANOS_PER_SECOND / callsPerSecond;
        burstNanos = NANOS_PER_SECOND - nanosPerCall;
    }

    /**
     * Takes one call from the budget.
     *
     * @param maxWaitNanos longest wait accepted
     * @return nanoseconds to wait before the call may begin, or a negative number where that exceeds the limit and
     *     nothing was taken
     */
    synchronized long reserve(long maxWaitNanos) {
        long now = time.nanoTime();
        long start = Math.max(nextStartNanos, now - burstNanos);
        long waitNanos = Math.max(0, start - now);
        if (waitNanos > maxWaitNanos) {
            return -1;
        }
        nextStartNanos = start + nanosPerCall;
        return waitNanos;
    }
}
