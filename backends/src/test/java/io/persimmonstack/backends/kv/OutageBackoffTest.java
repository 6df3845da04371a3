package io.persimmonstack.backends.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OutageBackoffTest {
    private static final long MS = 1_000_000;
    private static final long SEED = 4711;
    private long now;

    private final TimeSource time = new TimeSource() {
        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public long currentTimeMillis() {
            return now / MS;
        }
    };

    @Test
    void holdsCallsAfterThreeFailuresAndNeverLongerThanTheCeiling() {
        OutageBackoff backoff = OutageBackoff.create(time, new SplittableRandom(SEED));
        long longest = 0;
        for (int failure = 1; failure <= 100; failure++) {
            backoff.failed();
            long held = 0;
            while (!backoff.allowsCall()) {
                now += MS;
                held++;
            }
            assertTrue(failure >= 3 || held == 0, "held after failure " + failure);
            longest = Math.max(longest, held);
        }
        assertTrue(longest > 800 && longest <= 1_600, "longest hold " + longest + " ms");
    }

    @Test
    void oneSuccessEndsTheCount() {
        OutageBackoff backoff = OutageBackoff.create(time, new SplittableRandom(SEED));
        for (int i = 0; i < 10; i++) {
            backoff.failed();
            backoff.failed();
            backoff.succeeded();
            assertEquals(true, backoff.allowsCall());
        }
    }
}
