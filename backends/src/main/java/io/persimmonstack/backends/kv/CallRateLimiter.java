package io.persimmonstack.backends.kv;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket for calls. It holds the calls of one second, which may start at once; further calls are spaced evenly.
 * Thread-safe.
 */
final class CallRateLimiter {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private final TimeSource time;
    /** Interval of the calls that do not start in a burst; 0 while no call is allowed. */
    private long nanosPerCall;

    private long burstNanos;
    private long nextStartNanos;

    private CallRateLimiter(TimeSource time, int callsPerSecond) {
        this.time = time;
        setCallsPerSecond(callsPerSecond);
        this.nextStartNanos = time.nanoTime() - burstNanos;
    }

    /** Returns a rate limiter with a full bucket. */
    static CallRateLimiter ofCallsPerSecond(int callsPerSecond, TimeSource time) {
        return new CallRateLimiter(time, callsPerSecond);
    }

    /** Changes the rate of later calls, 0 allows none; calls that are already reserved keep their start times. */
    synchronized void setCallsPerSecond(int callsPerSecond) {
        nanosPerCall = callsPerSecond > 0 ? NANOS_PER_SECOND / callsPerSecond : 0;
        burstNanos = callsPerSecond > 0 ? NANOS_PER_SECOND - nanosPerCall : 0;
    }

    /**
     * Reserves one call.
     *
     * @param maxWaitNanos longest acceptable wait, in nanoseconds
     * @return time to wait before the call may start, in nanoseconds; negative if the wait would exceed the limit or no
     *     call is allowed, in which case nothing is reserved
     */
    synchronized long reserve(long maxWaitNanos) {
        if (nanosPerCall == 0) {
            return -1;
        }
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
