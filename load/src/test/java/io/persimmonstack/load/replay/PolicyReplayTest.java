package io.persimmonstack.load.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.policy.ModelCost;
import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyReplayTest {
    private static final long MINUTE_MS = 60_000;
    private static final ModelCost COST = new ModelCost(2, 30_000, 60);
    private static final Fleet ONE_DAY = new Fleet("test", 1, 4, 1, 60, 1);

    @Test
    void fixedKeepAliveCountsWaitsAndIdleTime() {
        Trace trace = trace(new Arrival(0, 0, 1_000), new Arrival(10_000, 0, 1_000), new Arrival(600_000, 0, 1_000));
        ReplayResult result = replay(trace, MINUTE_MS);
        assertEquals(2, result.loads());
        assertEquals(30_000, result.coldStartMs().getMaxValue(), 100);
        assertEquals(20_000, result.coldStartMs().getMinValue(), 100);
        double expectedHours = 2 * (30 + 60 + 30 + 60) / 3_600.0;
        assertEquals(expectedHours, result.idleAcceleratorHours(), 0.001);
    }

    @Test
    void refusesRequestsWhenNoAcceleratorIsFree() {
        Fleet small = new Fleet("test", 1, 1, 1, 60, 1);
        Trace trace = new Trace(small, List.of(new ReplayModel("model", COST)), List.of(new Arrival(0, 0, 1_000)));
        assertEquals(1, replay(trace, MINUTE_MS).refused());
    }

    @Test
    void clairvoyantCostsLessThanAFixedKeepAlive() {
        Trace trace = TraceGenerator.generate(new Fleet("test", 10, 40, 8, 30, 7), 11);
        double bound = PolicyReplay.run(trace, new ReplayPolicy.Clairvoyant("bound", false))
                .weightedHours();
        for (long minutes : new long[] {1, 10, 60}) {
            assertTrue(bound < replay(trace, minutes * MINUTE_MS).weightedHours());
        }
    }

    /**
     * At the high cold start weight of El-Gohary the adaptive policy costs less than fixed times, never unloading and
     * LRU.
     */
    @Test
    void adaptivePolicyCostsLessThanTheBaselinesAtElGoharysWeight() {
        Fleet tenDays = new Fleet("el-gohary", 40, 32, 24, 60, 10);
        Trace trace = TraceGenerator.generate(tenDays, 20_261_203);
        double adaptive = PolicyReplay.run(trace, new ReplayPolicy.KeepAlive("adaptive", KeepAlivePolicy.adaptive()))
                .weightedHours();
        for (long minutes : new long[] {1, 10}) {
            assertTrue(adaptive < replay(trace, minutes * MINUTE_MS).weightedHours(), "fixed " + minutes + " min");
        }
        assertTrue(adaptive < replay(trace, KeepAlivePolicy.NEVER_MS).weightedHours(), "never unload");
        ReplayPolicy lru = new ReplayPolicy.LeastRecentlyUsed("least recently used");
        assertTrue(adaptive < PolicyReplay.run(trace, lru).weightedHours(), "least recently used");
    }

    private static ReplayResult replay(Trace trace, long keepAliveMs) {
        return PolicyReplay.run(trace, new ReplayPolicy.KeepAlive("fixed", KeepAlivePolicy.fixed(keepAliveMs)));
    }

    private static Trace trace(Arrival... arrivals) {
        return new Trace(ONE_DAY, List.of(new ReplayModel("model", COST)), List.of(arrivals));
    }
}
