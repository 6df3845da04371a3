package io.persimmonstack.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KvCallBudgetTest {
    /** Higher than the configured 300, because each of up to 370 nodes may make at least one write per second. */
    private static final int MAX_FLEET_WRITES_PER_SECOND = 400;
    /** Each pair of read and write rates that was set, separated by a space. */
    private final List<String> appliedRates = new ArrayList<>();

    private int writesPerSecond;
    private final KvCallBudget budget = KvCallBudget.of(
            new CoordinatorSettings.KvSettings("127.0.0.1:1", 1_000, 20, 10, 1_500, 300), (readRate, writeRate) -> {
                appliedRates.add(readRate + " " + writeRate);
                writesPerSecond = writeRate;
            });

    @ParameterizedTest
    @CsvSource({"0, 20 10", "1, 20 10", "7, 20 10", "60, 20 5", "370, 4 1", "5000, 1 1"})
    void nodeShareIsAtLeastOneAndAtMostTheNodeLimit(int nodes, String expected) {
        budget.updateNodeCount(nodes);
        assertEquals(List.of(expected), appliedRates);
    }

    @Test
    void fleetWritesStayWithinTheLimitForUpTo370Nodes() {
        for (int nodes = 1; nodes <= 370; nodes++) {
            budget.updateNodeCount(nodes);
            assertTrue(
                    nodes * writesPerSecond <= MAX_FLEET_WRITES_PER_SECOND,
                    nodes + " nodes write " + writesPerSecond + " per second each");
        }
    }

    @Test
    void ratesAreNotSetAgainForTheSameNodeCount() {
        budget.updateNodeCount(7);
        budget.updateNodeCount(7);
        assertEquals(1, appliedRates.size());
    }
}
