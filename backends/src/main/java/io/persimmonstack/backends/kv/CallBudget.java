package io.persimmonstack.backends.kv;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.concurrent.TimeUnit;

/** Token bucket that lets calls of one second begin at once and spreads the rest. */
final class CallBudget {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private final TimeSource time;
    private long nanosPerCall;
    private long burstNanos;
    private long nextFreeNanos;

    private CallBudget(TimeSource time, int callsPerSecond) {
        this.time = time;
        perSecond(callsPerSecond);
        this.nextFreeNanos = time.nanoTime() - burstNanos;
    }

    static CallBudget perSecond(int calls, TimeSource time) {
        return new CallBudget(time, calls);
    }

    /** Changes the rate; calls that were reserved keep their times. */
    synchronized void perSecond(int calls) {
        nanosPerCall = NANOS_PER_SECOND / calls;
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
        long start = Math.max(nextFreeNanos, now - burstNanos);
        long waitNanos = Math.max(0, start - now);
        if (waitNanos > maxWaitNanos) {
            return -1;
        }
        nextFreeNanos = start + nanosPerCall;
        return waitNanos;
    }
}
