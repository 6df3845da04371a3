package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reads that end before their deadline, which callers would take for failures of the peer. */
class BodyLimitTest {
    private static final long DEADLINE_NANOS = 10_000_000;

    @ParameterizedTest
    @CsvSource({"0, 10", "8999999, 2", "9000000, 1", "9999999, 1", "10000000, 0", "30000000, 0"})
    void timeLeftIsRoundedUp(long nowNanos, int expectedMs) {
        BodyLimit limit = BodyLimit.until(DEADLINE_NANOS, BodyMemory.ofBytes(1_000_000));
        assertEquals(expectedMs, limit.remainingMs(nowNanos));
    }
}
