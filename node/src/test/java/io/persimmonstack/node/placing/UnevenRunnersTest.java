package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Choice among runners of different speed; each pattern is also played without paces, as nodes chose before. */
class UnevenRunnersTest {
    private static final int NODES = 20;
    private static final int RUNNERS = 12;
    private static final int SLOTS = 24;
    private static final double[] SPEEDS = {0.6, 1, 1.6};
    private static final double PER_SECOND_OF_SLOT = 1_000.0 / PaceSimulation.MEAN_DURATION_MS;

    private static PaceSimulation play(
            PaceSimulation.Slowness slowness, boolean usesPaces, long seed, int seconds, double perSecond) {
        PaceSimulation simulation = new PaceSimulation(NODES, RUNNERS, SLOTS, slowness, usesPaces, seed);
        simulation.run(seconds, perSecond, 15_000);
        return simulation;
    }

    private static String compare(PaceSimulation with, PaceSimulation without) {
        return "mean %.0f ms, p50 %d, p99 %d, served %d; without paces %.0f ms, p50 %d, p99 %d, served %d"
                .formatted(
                        with.meanMs(),
                        with.quantileMs(0.5),
                        with.quantileMs(0.99),
                        with.servedCount(),
                        without.meanMs(),
                        without.quantileMs(0.5),
                        without.quantileMs(0.99),
                        without.servedCount());
    }

    /** Runners of speed 0.6, 1 and 1.6 under a high load, and under one that all of them are needed for. */
    @ParameterizedTest
    @CsvSource({"0.8, 0.97, 1", "0.8, 0.97, 2", "0.8, 0.97, 3", "0.9, 1, 1", "0.9, 1, 2", "0.9, 1, 3"})
    void runnersOfThreeSpeedsAreUsedByTheirSpeed(double load, double maxRatio, long seed) {
        PaceSimulation.Slowness slowness = (runner, nowMs, random) -> 1 / SPEEDS[runner % SPEEDS.length];
        double perSecond = load * RUNNERS * SLOTS * PER_SECOND_OF_SLOT * (0.6 + 1 + 1.6) / 3;
        PaceSimulation with = play(slowness, true, seed, 60, perSecond);
        PaceSimulation without = play(slowness, false, seed, 60, perSecond);
        double perSlow = with.startsAt(0, 15_000, 60_000) / 45.0;
        String figures =
                "load %.1f: %.1f a second at a slow runner; ".formatted(load, perSlow) + compare(with, without);
        assertTrue(with.meanMs() < maxRatio * without.meanMs(), figures);
        assertTrue(with.quantileMs(0.99) <= without.quantileMs(0.99), figures);
        double neededPerSlow = (load * (0.6 + 1 + 1.6) - (1 + 1.6)) * SLOTS * PER_SECOND_OF_SLOT;
        assertTrue(perSlow >= neededPerSlow, figures);
    }

    /** One runner is five times slower for 6.5 s: it is avoided meanwhile and used as before soon after. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void runnerThatIsSlowForSecondsIsAvoidedThatLong(long seed) {
        long fromMs = 20_000;
        long toMs = 26_500;
        PaceSimulation.Slowness slowness =
                (runner, nowMs, random) -> runner == 0 && nowMs >= fromMs && nowMs < toMs ? 5 : 1;
        double perSecond = 0.5 * RUNNERS * SLOTS * PER_SECOND_OF_SLOT;
        PaceSimulation with = play(slowness, true, seed, 50, perSecond);
        PaceSimulation without = play(slowness, false, seed, 50, perSecond);
        double usual = perSecond / RUNNERS;
        double during = with.startsAt(0, fromMs + 1_500, toMs) / 5.0;
        double duringWithout = without.startsAt(0, fromMs + 1_500, toMs) / 5.0;
        double after = with.startsAt(0, toMs + 2_000, toMs + 7_000) / 5.0;
        String rates = "usual %.1f, during %.1f (without %.1f), after %.1f; %s"
                .formatted(usual, during, duringWithout, after, compare(with, without));
        assertTrue(during < 0.7 * duringWithout, rates);
        assertTrue(after > 0.7 * usual, rates);
        assertTrue(with.quantileMs(0.99) <= without.quantileMs(0.99), rates);
    }

    /** 15 of 100 requests take 2.5 times as long, at all runners alike: that says nothing about a runner. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void slowAnswersHereAndThereChangeNoPace(long seed) {
        PaceSimulation.Slowness slowness = (runner, nowMs, random) -> random.nextInt(100) < 15 ? 2.5 : 1;
        double perSecond = 0.5 * RUNNERS * SLOTS * PER_SECOND_OF_SLOT;
        PaceSimulation with = play(slowness, true, seed, 60, perSecond);
        PaceSimulation without = play(slowness, false, seed, 60, perSecond);
        String figures = with.unusualShare() + "; " + compare(with, without);
        assertTrue(with.unusualShare() < 0.02, figures);
        assertTrue(with.meanMs() < 1.02 * without.meanMs(), figures);
    }

    /** Each runner is 2.5 times slower for 0.6 s at times, for 15 of 100 requests: no runner is avoided for long. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void runnerThatIsSlowForAMomentIsNotAvoidedForLong(long seed) {
        PaceSimulation.Slowness slowness = (runner, nowMs, random) -> (nowMs + runner * 1_237L) % 4_000 < 600 ? 2.5 : 1;
        double perSecond = 0.5 * RUNNERS * SLOTS * PER_SECOND_OF_SLOT;
        PaceSimulation with = play(slowness, true, seed, 60, perSecond);
        PaceSimulation without = play(slowness, false, seed, 60, perSecond);
        String figures = with.unusualShare() + "; " + compare(with, without);
        assertTrue(with.unusualShare() < 2 * 0.15, figures);
        assertTrue(with.meanMs() < 1.02 * without.meanMs(), figures);
    }

    /** Runners that are alike keep a pace of exactly 1, so that they are chosen among by utilisation alone. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void runnersThatAreAlikeHaveTheUsualPace(long seed) {
        double perSecond = 0.6 * RUNNERS * SLOTS * PER_SECOND_OF_SLOT;
        PaceSimulation with = play((runner, nowMs, random) -> 1, true, seed, 60, perSecond);
        assertEquals(0, with.unusualShare(), 0.01);
    }
}
