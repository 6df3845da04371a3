package io.persimmonstack.coordination.cap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Simulated fleets under drawn demand and faults: a workspace must never exceed the bound of its cap in any window, and
 * must be able to use the cap while nothing is broken.
 */
class UsageCapPropertyTest {
    private static final int BROKEN_RUNS = 8_000;
    private static final int SOUND_RUNS = 2_000;
    private static final long RUN_MS = 20_000;
    private static final long SOUND_RUN_MS = 40_000;
    /** Time after which a fleet without faults has assigned its slots. */
    private static final long STARTED_MS = 4_000;

    /** Run and what it came to. */
    private record Result(int seed, double value) {}

    @Test
    void noWindowExceedsTheBoundWhateverBreaks() {
        List<Result> over = IntStream.range(0, BROKEN_RUNS)
                .parallel()
                .mapToObj(seed -> new Result(seed, runBroken(seed).worstWindow()))
                .filter(result -> result.value > 1)
                .toList();
        assertEquals(List.of(), over);
    }

    @Test
    void theCapCanBeUsedWhileNothingIsBroken() {
        List<Result> low = IntStream.range(0, SOUND_RUNS)
                .parallel()
                .mapToObj(seed -> new Result(seed, soundShare(seed)))
                .filter(result -> result.value < 0.95)
                .toList();
        assertEquals(List.of(), low);
    }

    private static double soundShare(int seed) {
        SimulatedFleet fleet = runSound(seed);
        assertTrue(fleet.worstWindow() <= 1, "seed " + seed);
        return fleet.usedShareSince(STARTED_MS);
    }

    private static SimulatedFleet runBroken(int seed) {
        Random random = new Random(seed);
        double rate = Math.exp(random.nextDouble(Math.log(1_500), Math.log(60_000)));
        double burst = rate * random.nextDouble(0.5, 5);
        int maxTokens = random.nextInt(500, 4_001);
        SimulatedFleet.Demand demand = new SimulatedFleet.Demand(
                random.nextDouble(0.5, 7),
                SimulatedFleet.Place.values()[random.nextInt(3)],
                random.nextInt(500, 8_000),
                random.nextInt(2) * random.nextInt(1_000, 8_000),
                maxTokens / 2,
                maxTokens,
                random.nextInt(3) == 0 ? random.nextDouble(0.5) : 0);
        double faultsPerSecond = Math.exp(random.nextDouble(Math.log(0.05), Math.log(0.7)));
        SimulatedFleet fleet = new SimulatedFleet(random, random.nextInt(2, 7), rate, burst, demand, faultsPerSecond);
        fleet.run(RUN_MS);
        return fleet;
    }

    private static SimulatedFleet runSound(int seed) {
        Random random = new Random(seed);
        double rate = Math.exp(random.nextDouble(Math.log(1_900), Math.log(20_000)));
        SimulatedFleet.Demand demand = new SimulatedFleet.Demand(
                random.nextDouble(2, 7),
                SimulatedFleet.Place.values()[random.nextInt(3)],
                random.nextInt(500, 8_000),
                0,
                100,
                1_900,
                0);
        SimulatedFleet fleet = new SimulatedFleet(random, random.nextInt(2, 7), rate, rate, demand, 0);
        fleet.run(SOUND_RUN_MS);
        return fleet;
    }
}
