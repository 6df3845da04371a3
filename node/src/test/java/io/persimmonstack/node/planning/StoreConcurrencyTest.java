package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The concurrency of the weight store is learned: with the constant 4, and 6 for models in high demand, loads from a
 * store that serves one at full speed took six times as long, and blocked six runners.
 */
class StoreConcurrencyTest {
    private static final long LOAD_MS = 10_000;
    private final StoreConcurrency concurrency = new StoreConcurrency();
    private long nowMs = 1_000;

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }

    /** Runs concurrent loads that start and end together, at a store that serves some of them at full speed. */
    private void load(int loads, int atFullSpeed, boolean completed) {
        List<StoreConcurrency.Load> started = new ArrayList<>();
        for (int i = 0; i < loads; i++) {
            started.add(concurrency.begin(LOAD_MS, nanos()));
        }
        nowMs += LOAD_MS * Math.max(loads, atFullSpeed) / atFullSpeed;
        started.forEach(load -> concurrency.end(load, completed, nanos()));
    }

    @Test
    void constantsApplyUntilLearned() {
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
        load(1, 2, true);
        load(2, 2, true);
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
    }

    @Test
    void slowLoadsShowHowManyRunAtFullSpeed() {
        load(6, 1, true);
        assertEquals(new StoreLimits(1, 2), concurrency.limits(nanos()));
        StoreConcurrency other = new StoreConcurrency();
        StoreConcurrency.Load one = other.begin(LOAD_MS, 0);
        StoreConcurrency.Load two = other.begin(LOAD_MS, 0);
        StoreConcurrency.Load three = other.begin(LOAD_MS, 0);
        long endNanos = TimeUnit.MILLISECONDS.toNanos(LOAD_MS * 3 / 2);
        List.of(one, two, three).forEach(load -> other.end(load, true, endNanos));
        assertEquals(new StoreLimits(2, 3), other.limits(endNanos));
    }

    @Test
    void moreLoadsAtFullSpeedRaiseTheLimit() {
        load(4, 1, true);
        load(2, 8, true);
        assertEquals(2, concurrency.limits(nanos()).loads());
        load(3, 8, true);
        assertEquals(3, concurrency.limits(nanos()).loads());
    }

    @Test
    void loadThatFailedTeachesNothing() {
        load(6, 1, false);
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
    }

    /** Six loads took 79 s, and for all that time the limit stayed at six. */
    @Test
    void loadsInProgressThatTakeTooLongLowerTheLimit() {
        for (int i = 0; i < 6; i++) {
            concurrency.begin(LOAD_MS, nanos());
        }
        nowMs += LOAD_MS;
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
        nowMs += LOAD_MS;
        assertEquals(new StoreLimits(3, 4), concurrency.limits(nanos()));
        nowMs += 4 * LOAD_MS;
        assertEquals(new StoreLimits(1, 2), concurrency.limits(nanos()));
    }

    /** A single runner that hangs says nothing about the store. */
    @Test
    void singleLoadThatTakesTooLongLeavesTheLimit() {
        concurrency.begin(LOAD_MS, nanos());
        nowMs += 3 * LOAD_MS;
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
    }

    /**
     * One slow runner limited a fleet to one load at a time: a load that ran alone and took longer than configured
     * counted as slowed down by others.
     */
    @Test
    void loadsSlowerThanSharingExplainsLeaveTheLimit() {
        StoreConcurrency.Load alone = concurrency.begin(LOAD_MS, nanos());
        nowMs += 2 * LOAD_MS;
        concurrency.end(alone, true, nanos());
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
        concurrency.begin(LOAD_MS, nanos());
        concurrency.begin(LOAD_MS, nanos());
        nowMs += 4 * LOAD_MS;
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
    }

    /** The end of a load shows in a status up to 0.3 s late, which made short loads at full speed look slow. */
    @Test
    void lagOfTheStatusDoesNotMakeShortLoadsSlow() {
        List<StoreConcurrency.Load> loads = List.of(
                concurrency.begin(800, nanos()), concurrency.begin(800, nanos()), concurrency.begin(800, nanos()));
        nowMs += 1_050;
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
        loads.forEach(load -> concurrency.end(load, true, nanos()));
        assertEquals(StoreLimits.UNLEARNED, concurrency.limits(nanos()));
    }

    /**
     * A limit that was learned while the store was slow stayed for good where no model had a high request rate, since
     * only such models add a load to it.
     */
    @Test
    void limitRecoversByLoadsAtFullSpeed() {
        load(4, 1, true);
        assertEquals(1, concurrency.limits(nanos()).loads());
        for (int i = 0; i < 6; i++) {
            load(1, 4, true);
        }
        assertEquals(2, concurrency.limits(nanos()).loads());
        load(2, 1, true);
        assertEquals(1, concurrency.limits(nanos()).loads());
    }
}
