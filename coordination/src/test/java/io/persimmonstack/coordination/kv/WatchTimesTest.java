package io.persimmonstack.coordination.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a watch whose pause, poll and timeout together take longer than a change may take to be reported. */
class WatchTimesTest {
    private static final int LIMIT_MS = 2_000;

    @Test
    void allThatASilentConnectionCanCostFitsIntoTheLimit() {
        for (int limitMs = 100; limitMs <= 20_000; limitMs += 37) {
            for (int nodes = 0; nodes <= 1_000; nodes += 13) {
                WatchTimes times = WatchTimes.within(limitMs, 20 * nodes);
                int silentMs = times.pauseMs() + times.holdMs() + times.answerMs();
                assertEquals(limitMs, silentMs + times.repeatMs());
                assertTrue(times.repeatMs() >= limitMs / 8, () -> "no time to repeat the poll: " + times);
                assertTrue(times.holdMs() > 0 && times.answerMs() > 0, times::toString);
            }
        }
    }

    /** The confirmation that a picture is complete is two held polls and a pause old at most, if nothing is silent. */
    @Test
    void confirmationOfASoundStoreIsNeverOlderThanTheLimit() {
        for (int nodes = 0; nodes <= 1_000; nodes += 13) {
            WatchTimes times = WatchTimes.within(LIMIT_MS, 20 * nodes);
            assertTrue(2 * times.holdMs() + times.pauseMs() < LIMIT_MS, times::toString);
        }
    }

    @Test
    void pauseIsKeptWhereTheLimitAllowsIt() {
        assertEquals(500, WatchTimes.within(LIMIT_MS, 500).pauseMs());
        assertEquals(900, WatchTimes.within(LIMIT_MS, 5_000).pauseMs());
    }
}
