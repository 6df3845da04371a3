package io.persimmonstack.backends.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OutageBackoffTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long SEED = 4711;
    private long nowNanos;

    private final TimeSource time = FakeTime.ofNanos(() -> nowNanos);

    @Test
    void blocksCallsAfterThreeFailuresForABoundedTime() {
        OutageBackoff backoff = OutageBackoff.create(time, new SplittableRandom(SEED));
        long longestMs = 0;
        for (int failure = 1; failure <= 100; failure++) {
            backoff.recordFailure();
            long blockedMs = 0;
            while (!backoff.allowsCall()) {
                nowNanos += NANOS_PER_MS;
                blockedMs++;
            }
            assertTrue(failure >= 3 || blockedMs == 0, "blocked after failure " + failure);
            longestMs = Math.max(longestMs, blockedMs);
        }
        assertTrue(longestMs > 800 && longestMs <= 1_600, "longest block " + longestMs + " ms");
    }

    @Test
    void successResetsTheFailureCount() {
        OutageBackoff backoff = OutageBackoff.create(time, new SplittableRandom(SEED));
        for (int i = 0; i < 10; i++) {
            backoff.recordFailure();
            backoff.recordFailure();
            backoff.recordSuccess();
            assertEquals(true, backoff.allowsCall());
        }
    }
}
