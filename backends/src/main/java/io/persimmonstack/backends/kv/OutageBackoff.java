package io.persimmonstack.backends.kv;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Refuses calls for a random time after consecutive failures. The maximum of that time doubles with each further
 * failure, up to a ceiling. Thread-safe.
 */
final class OutageBackoff {
    private static final int FAILURE_THRESHOLD = 3;
    private static final long INITIAL_MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MAX_DOUBLINGS = 4;
    private final TimeSource time;
    private final RandomGenerator random;
    private int failures;
    private long blockedUntilNanos;

    private OutageBackoff(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
        this.blockedUntilNanos = time.nanoTime();
    }

    static OutageBackoff create(TimeSource time, RandomGenerator random) {
        return new OutageBackoff(time, random);
    }

    /** Returns whether a call may start now. */
    synchronized boolean allowsCall() {
        return time.nanoTime() - blockedUntilNanos >= 0;
    }

    /** Records a failed call. From the third consecutive failure on, blocks calls for a random time. */
    synchronized void recordFailure() {
        failures++;
        if (failures >= FAILURE_THRESHOLD) {
            int doublings = Math.min(MAX_DOUBLINGS, failures - FAILURE_THRESHOLD);
            blockedUntilNanos = time.nanoTime() + random.nextLong(INITIAL_MAX_DELAY_NANOS << doublings);
        }
    }

    /** Records a successful call, which resets the count of failures. A backoff in progress still runs to its end. */
    synchronized void recordSuccess() {
        failures = 0;
    }
}
