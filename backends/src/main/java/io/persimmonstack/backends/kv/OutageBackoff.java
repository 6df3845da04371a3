package io.persimmonstack.backends.kv;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Holds calls back after failures in a row, for a jittered time that doubles with each. */
final class OutageBackoff {
    private static final int TOLERATED_FAILURES = 3;
    private static final long FIRST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MAX_DOUBLINGS = 4;
    private final TimeSource time;
    private final RandomGenerator random;
    private int failures;
    private long heldUntilNanos;

    private OutageBackoff(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
        this.heldUntilNanos = time.nanoTime();
    }

    static OutageBackoff create(TimeSource time, RandomGenerator random) {
        return new OutageBackoff(time, random);
    }

    synchronized boolean allowsCall() {
        return time.nanoTime() - heldUntilNanos >= 0;
    }

    synchronized void failed() {
        failures++;
        if (failures >= TOLERATED_FAILURES) {
            int doublings = Math.min(MAX_DOUBLINGS, failures - TOLERATED_FAILURES);
            heldUntilNanos = time.nanoTime() + random.nextLong(FIRST_NANOS << doublings);
        }
    }

    synchronized void succeeded() {
        failures = 0;
    }
}
