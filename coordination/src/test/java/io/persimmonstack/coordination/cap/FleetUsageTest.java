package io.persimmonstack.coordination.cap;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Requests that 81 nodes refuse though one exact bucket for the whole fleet would admit them: 16 workspaces of sizes
 * 1/n, the smallest with 1,900 tokens per second, each on several drawn days.
 */
class FleetUsageTest {
    private static final int DAYS = 4;
    private static final int WORKSPACES = 16;
    private static final double LARGEST_RATE = 30_400;
    private static final int FAULTS_MS = 2_000;
    private static final long WAIT_MS = 100;
    private static final double SURGE = 7;

    private static SimulatedDay.Counts days(double usualFactor, int faultsMs, int workspaces) {
        return IntStream.range(0, DAYS * workspaces)
                .parallel()
                .mapToObj(i -> SimulatedDay.play(
                        i / workspaces, LARGEST_RATE / (i % workspaces + 1), usualFactor, faultsMs, WAIT_MS))
                .collect(SimulatedDay.Counts::new, SimulatedDay.Counts::add, SimulatedDay.Counts::add);
    }

    /** Tokens granted ahead of need, and requests larger than a slot has, cost 0.7% of the requests. */
    @Test
    void hardlyAnythingIsRefusedBelowTheCapWithoutFaults() {
        SimulatedDay.Counts counts = days(1, 0, WORKSPACES);
        assertTrue(counts.belowShare() < 0.002, counts.toString());
        assertTrue(counts.worstWindow < 1, counts.toString());
    }

    /** The only holder of a small workspace was lost for 8 s; nodes that are cut off cannot know what is left. */
    @Test
    void theLossOfAHolderLeavesASmallWorkspaceAnother() {
        SimulatedDay.Counts counts = days(1, FAULTS_MS, WORKSPACES);
        assertTrue(counts.belowConnectedShare() < 0.01, counts.toString());
        assertTrue(counts.worstWindow < 1, counts.toString());
    }

    /** A workspace above its cap gets all of it, also while holders fail, and the bound holds. */
    @Test
    void aSurgeUsesTheCapAndNotMoreThanTheBound() {
        SimulatedDay.Counts counts = days(SURGE, FAULTS_MS, 3);
        assertTrue(counts.usedShare() > 0.95, counts.toString());
        assertTrue(counts.worstWindow < 1, counts.toString());
    }
}
