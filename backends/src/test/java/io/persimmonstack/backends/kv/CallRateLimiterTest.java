package io.persimmonstack.backends.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import org.junit.jupiter.api.Test;

class CallRateLimiterTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private long nowNanos;

    private final TimeSource time = FakeTime.ofNanos(() -> nowNanos);

    @Test
    void allowsABurstOfOneSecondThenSpacesThenRefusesCalls() {
        CallRateLimiter limiter = CallRateLimiter.ofCallsPerSecond(10, time);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, limiter.reserve(0), "call " + i);
        }
        assertEquals(-1, limiter.reserve(99 * NANOS_PER_MS));
        assertEquals(100 * NANOS_PER_MS, limiter.reserve(100 * NANOS_PER_MS));
        assertEquals(200 * NANOS_PER_MS, limiter.reserve(1_000 * NANOS_PER_MS));
        nowNanos += 300 * NANOS_PER_MS;
        assertEquals(0, limiter.reserve(0));
        assertEquals(-1, limiter.reserve(0));
    }

    @Test
    void idleTimeAccumulatesAtMostOneSecondOfCalls() {
        CallRateLimiter limiter = CallRateLimiter.ofCallsPerSecond(2, time);
        nowNanos += 60_000 * NANOS_PER_MS;
        assertEquals(0, limiter.reserve(0));
        assertEquals(0, limiter.reserve(0));
        assertEquals(-1, limiter.reserve(0));
    }

    @Test
    void changedRateAppliesToLaterCalls() {
        CallRateLimiter limiter = CallRateLimiter.ofCallsPerSecond(10, time);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, limiter.reserve(0), "call " + i);
        }
        limiter.setCallsPerSecond(1);
        nowNanos += 100 * NANOS_PER_MS;
        assertEquals(0, limiter.reserve(0));
        assertEquals(1_000 * NANOS_PER_MS, limiter.reserve(1_000 * NANOS_PER_MS));
        assertEquals(-1, limiter.reserve(1_000 * NANOS_PER_MS));
    }

    @Test
    void rateOfZeroAllowsNoCallUntilItIsRaised() {
        CallRateLimiter limiter = CallRateLimiter.ofCallsPerSecond(0, time);
        assertEquals(-1, limiter.reserve(Long.MAX_VALUE));
        limiter.setCallsPerSecond(10);
        assertEquals(0, limiter.reserve(0));
        limiter.setCallsPerSecond(0);
        assertEquals(-1, limiter.reserve(1_000 * NANOS_PER_MS));
    }
}
