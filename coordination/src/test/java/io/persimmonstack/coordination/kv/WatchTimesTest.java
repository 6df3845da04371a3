package io.persimmonstack.coordination.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a watch whose pause, poll and timeout together take longer than a change may take to be reported. */
class WatchTimesTest {
    private static final int LIMIT_MS = 2_000;
    private static final int RUNS = 20_000;
    private static final int ROUND_TRIP_MS = 50;
    private static final int MAX_ANSWER_MS = 1_000;

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

    /** Plays polls of a sound store in simulated time, over drawn moments of silence and of changes. */
    @Test
    void changeIsReportedInTimeWheneverConnectionsFallSilent() {
        SplittableRandom random = new SplittableRandom(45);
        for (int run = 0; run < RUNS; run++) {
            int limitMs = random.nextInt(LIMIT_MS, 2 * LIMIT_MS + 1);
            WatchTimes times = WatchTimes.within(limitMs, random.nextInt(limitMs));
            int changeMs = random.nextInt(10 * LIMIT_MS);
            List<Integer> silencesMs =
                    random.ints(random.nextInt(4), 0, 10 * LIMIT_MS).boxed().toList();
            int reportedMs = reportedMs(times, changeMs, silencesMs);
            int lastSilenceMs = silencesMs.stream()
                    .filter(silenceMs -> silenceMs < reportedMs)
                    .max(Integer::compare)
                    .orElse(0);
            int dueMs = Math.max(changeMs, lastSilenceMs) + limitMs;
            assertTrue(
                    reportedMs <= dueMs,
                    () -> times + ": change at " + changeMs + ", silent at " + silencesMs + ", reported at "
                            + reportedMs);
        }
    }

    /** Returns when a change is reported; each silence affects the connections that are open then. */
    private static int reportedMs(WatchTimes times, int changeMs, List<Integer> silencesMs) {
        int nowMs = 0;
        int openedMs = 0;
        int holdMs = times.holdMs();
        int answerMs = times.answerMs();
        while (true) {
            int answeredMs = Math.clamp(changeMs, nowMs, nowMs + holdMs) + ROUND_TRIP_MS;
            int opened = openedMs;
            if (silencesMs.stream().anyMatch(silenceMs -> silenceMs >= opened && silenceMs < answeredMs)) {
                nowMs += holdMs + answerMs;
                openedMs = nowMs;
                holdMs = 0;
                answerMs = Math.min(MAX_ANSWER_MS, 2 * answerMs);
            } else if (changeMs < answeredMs) {
                return answeredMs;
            } else {
                nowMs = answeredMs + times.pauseMs();
                holdMs = times.holdMs();
                answerMs = times.answerMs();
            }
        }
    }

    @Test
    void pauseIsKeptWhereTheLimitAllowsIt() {
        assertEquals(500, WatchTimes.within(LIMIT_MS, 500).pauseMs());
        assertEquals(900, WatchTimes.within(LIMIT_MS, 5_000).pauseMs());
    }
}
