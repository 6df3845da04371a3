package io.persimmonstack.backends.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.time.TimeSource;
import org.junit.jupiter.api.Test;

class CallBudgetTest {
    private static final long MS = 1_000_000;
    private long now;

    private final TimeSource time = new TimeSource() {
        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public long currentTimeMillis() {
            return now / MS;
        }
    };

    @Test
    void burstOfOneSecondThenSpacedThenRefused() {
        CallBudget budget = CallBudget.perSecond(10, time);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, budget.reserve(0), "call " + i);
        }
        assertEquals(-1, budget.reserve(99 * MS));
        assertEquals(100 * MS, budget.reserve(100 * MS));
        assertEquals(200 * MS, budget.reserve(1_000 * MS));
        now += 300 * MS;
        assertEquals(0, budget.reserve(0));
        assertEquals(-1, budget.reserve(0));
    }

    @Test
    void idleTimeSavesNoMoreThanOneSecond() {
        CallBudget budget = CallBudget.perSecond(2, time);
        now += 60_000 * MS;
        assertEquals(0, budget.reserve(0));
        assertEquals(0, budget.reserve(0));
        assertEquals(-1, budget.reserve(0));
    }

    @Test
    void changedRateSpacesTheNextCalls() {
        CallBudget budget = CallBudget.perSecond(10, time);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, budget.reserve(0), "call " + i);
        }
        budget.perSecond(1);
        now += 100 * MS;
        assertEquals(0, budget.reserve(0));
        assertEquals(1_000 * MS, budget.reserve(1_000 * MS));
        assertEquals(-1, budget.reserve(1_000 * MS));
    }
}
