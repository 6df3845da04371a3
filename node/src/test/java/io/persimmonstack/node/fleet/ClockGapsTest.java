package io.persimmonstack.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that looks fresh after its machine was frozen for longer than it may be old. */
class ClockGapsTest {
    private static final long WALL_MS = 1_796_590_000_000L;
    private final ClockGaps gaps = new ClockGaps();

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void frozenTimeCountsForWhatWasConfirmedBefore() {
        gaps.sample(nanos(1_000), WALL_MS + 1_000);
        gaps.sample(nanos(2_000), WALL_MS + 12_000);
        assertEquals(10_000, gaps.missedMsSince(nanos(1_000)));
        assertEquals(10_000, gaps.missedMsSince(nanos(1_999)));
        assertEquals(0, gaps.missedMsSince(nanos(2_000)));
        gaps.sample(nanos(3_000), WALL_MS + 18_000);
        assertEquals(15_000, gaps.missedMsSince(nanos(1_500)));
        assertEquals(5_000, gaps.missedMsSince(nanos(2_500)));
    }

    @Test
    void adjustedClocksAreNoGap() {
        gaps.sample(nanos(-5_000), WALL_MS);
        for (int i = 1; i <= 1_000; i++) {
            gaps.sample(nanos(-5_000 + 3_000L * i), WALL_MS + 3_020L * i);
        }
        assertEquals(0, gaps.missedMsSince(nanos(-5_000)));
    }

    @Test
    void wallClockThatIsSetBackIsNoGap() {
        gaps.sample(nanos(0), WALL_MS);
        gaps.sample(nanos(1_000), WALL_MS - 60_000);
        gaps.sample(nanos(2_000), WALL_MS - 59_000);
        assertEquals(0, gaps.missedMsSince(nanos(0)));
    }

    @Test
    void systemClocksHaveNoGap() {
        long before = System.nanoTime();
        gaps.sample();
        gaps.sample();
        assertEquals(0, gaps.missedMsSince(before));
    }
}
