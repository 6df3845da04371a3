package io.persimmonstack.coordination.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdaptiveKeepAliveTest {
    private static final long SECOND_MS = 1_000;
    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 3_600_000;
    private static final long DAY_MS = 24 * HOUR_MS;
    private static final ModelCost COST = new ModelCost(1, 30 * SECOND_MS, 20);
    private final KeepAlivePolicy policy = KeepAlivePolicy.adaptive();

    @Test
    void modelWithoutHistoryHasNoKeepAlive() {
        assertEquals(0, policy.keepAliveMs("never-asked", COST, HOUR_MS));
    }

    @Test
    void keepAliveCoversGapsWithinSessionsOnly() {
        long nowMs = observeSessionsEvery(6 * HOUR_MS, 40, 20 * SECOND_MS);
        long keepMs = policy.keepAliveMs("model", COST, nowMs);
        assertTrue(keepMs >= 20 * SECOND_MS, "kept " + keepMs + " ms, gaps are 20 s");
        assertTrue(keepMs < 5 * MINUTE_MS, "kept " + keepMs + " ms, sessions are 6 h apart");
    }

    @Test
    void outOfOrderReportsNeitherShortenKeepAliveNorMoveTimeBack() {
        KeepAlivePolicy reordered = KeepAlivePolicy.adaptive();
        for (int session = 0; session < 40; session++) {
            long startMs = session * 6 * HOUR_MS;
            for (int request = 0; request < 10; request++) {
                reordered.observe("model", COST, startMs + request * 20 * SECOND_MS);
                reordered.observe("model", COST, startMs + request * 20 * SECOND_MS - 4 * SECOND_MS);
            }
        }
        long nowMs = 39 * 6 * HOUR_MS + 200 * SECOND_MS;
        long keepMs = reordered.keepAliveMs("model", COST, nowMs);
        assertTrue(keepMs >= 20 * SECOND_MS && keepMs < 5 * MINUTE_MS, "kept " + keepMs + " ms");
        long hourLaterMs = nowMs + HOUR_MS;
        assertEquals(hourLaterMs, reordered.preloadUntilMs("model", COST, hourLaterMs));
    }

    @Test
    void costlierColdStartIncreasesKeepAliveAndRetentionValue() {
        long nowMs = observeSessionsEvery(HOUR_MS, 60, 20 * SECOND_MS);
        ModelCost costly = new ModelCost(1, 30 * SECOND_MS, 10_000);
        assertTrue(policy.keepAliveMs("model", costly, nowMs) > policy.keepAliveMs("model", COST, nowMs));
        assertTrue(policy.retentionValue("model", costly, nowMs) > policy.retentionValue("model", COST, nowMs));
    }

    @Test
    void dailySessionIsLoadedAheadAroundItsTimeOnly() {
        ModelCost costly = new ModelCost(1, 30 * SECOND_MS, 100);
        for (int day = 0; day < 10; day++) {
            policy.observe("model", costly, day * DAY_MS + 8 * HOUR_MS + 5 * MINUTE_MS);
        }
        long eightMs = 10 * DAY_MS + 8 * HOUR_MS;
        assertEquals(eightMs + 5 * MINUTE_MS, policy.preloadUntilMs("model", costly, eightMs));
        assertEquals(eightMs + 15 * MINUTE_MS, policy.preloadUntilMs("model", costly, eightMs + 10 * MINUTE_MS));
        long laterMs = eightMs + 15 * MINUTE_MS;
        assertEquals(laterMs, policy.preloadUntilMs("model", costly, laterMs));
        long noonMs = 10 * DAY_MS + 12 * HOUR_MS;
        assertEquals(noonMs, policy.preloadUntilMs("model", costly, noonMs));
    }

    @Test
    void unusedModelIsNoLongerLoadedAhead() {
        ModelCost costly = new ModelCost(1, 30 * SECOND_MS, 400);
        long nowMs = 0;
        for (int session = 0; session < 100; session++) {
            nowMs += 20 * MINUTE_MS;
            policy.observe("model", costly, nowMs);
        }
        assertTrue(policy.preloadUntilMs("model", costly, nowMs + HOUR_MS) > nowMs + HOUR_MS);
        long laterMs = nowMs + 14 * DAY_MS;
        assertEquals(laterMs, policy.preloadUntilMs("model", costly, laterMs));
    }

    @Test
    void adoptedStatisticsYieldTheSameDecisions() throws StatisticsException {
        ModelCost costly = new ModelCost(1, 30 * SECOND_MS, 100);
        for (int day = 0; day < 10; day++) {
            policy.observe("model", costly, day * DAY_MS + 8 * HOUR_MS + 5 * MINUTE_MS);
            policy.observe("model", costly, day * DAY_MS + 8 * HOUR_MS + 5 * MINUTE_MS + 20 * SECOND_MS);
        }
        KeepAlivePolicy other = KeepAlivePolicy.adaptive();
        for (String name : List.of(KeepAlivePolicy.ALL_MODELS, "model")) {
            DemandStatistics statistics = policy.statistics(name).orElseThrow();
            assertTrue(
                    statistics.numbers().size() < 400,
                    name + ": " + statistics.numbers().size() + " numbers");
            assertTrue(other.adopt(name, statistics));
            assertFalse(other.adopt(name, statistics), "statistics with no more observations must not be adopted");
        }
        for (long nowMs = 10 * DAY_MS; nowMs < 11 * DAY_MS; nowMs += 5 * MINUTE_MS) {
            assertEquals(policy.preloadUntilMs("model", costly, nowMs), other.preloadUntilMs("model", costly, nowMs));
            assertEquals(policy.keepAliveMs("model", costly, nowMs), other.keepAliveMs("model", costly, nowMs));
            assertEquals(
                    policy.retentionValue("model", costly, nowMs), other.retentionValue("model", costly, nowMs), 1e-9);
        }
    }

    @Test
    void unreadableStatisticsLeaveThePolicyUnchanged() {
        observeSessionsEvery(HOUR_MS, 5, 20 * SECOND_MS);
        long before = policy.observations("model");
        List<Double> numbers = policy.statistics("model").orElseThrow().numbers();
        List<Double> truncated = numbers.subList(0, numbers.size() - 1);
        List<Double> otherFormat = new ArrayList<>(numbers);
        otherFormat.set(0, 99.0);
        List<Double> notFinite = new ArrayList<>(numbers);
        notFinite.set(6, Double.NaN);
        for (List<Double> content : List.of(List.<Double>of(), truncated, otherFormat, notFinite)) {
            DemandStatistics unreadable = new DemandStatistics(before + 1, content);
            assertThrows(StatisticsException.class, () -> policy.adopt("model", unreadable));
        }
        assertEquals(before, policy.observations("model"));
    }

    private long observeSessionsEvery(long periodMs, int sessions, long gapMs) {
        long nowMs = 0;
        for (int session = 0; session < sessions; session++) {
            nowMs = session * periodMs;
            for (int request = 0; request < 10; request++) {
                policy.observe("model", COST, nowMs);
                nowMs += gapMs;
            }
        }
        return nowMs;
    }
}
