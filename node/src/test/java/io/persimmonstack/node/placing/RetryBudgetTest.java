package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Retries of several nodes that share the slack without communicating. */
class RetryBudgetTest {
    private static final RetryBudgetOptions OPTIONS = new RetryBudgetOptions(0.2, 50, 1_000);

    @Test
    void disconnectedNodesStayWithinTheSharedBudget() {
        int nodes = 5;
        List<RetryBudget> budgets = new ArrayList<>();
        IntStream.range(0, nodes).forEach(node -> budgets.add(RetryBudget.of(OPTIONS)));
        long spent = 0;
        for (RetryBudget budget : budgets) {
            IntStream.range(0, 100).forEach(request -> budget.recordRequest("s", 10));
            spent += IntStream.range(0, 1_000)
                    .filter(retry -> budget.trySpend("s", nodes, 20))
                    .count();
        }
        assertTrue(spent <= 0.2 * 500 + 50, "spent " + spent);
        assertTrue(spent > 0, "spent nothing");
    }

    @Test
    void retriesOutsideTheWindowDoNotCount() {
        RetryBudget budget = RetryBudget.of(OPTIONS);
        long first = IntStream.range(0, 100)
                .filter(retry -> budget.trySpend("s", 1, 0))
                .count();
        long later = IntStream.range(0, 100)
                .filter(retry -> budget.trySpend("s", 1, 1_001))
                .count();
        assertEquals(first, later);
    }

    @Test
    void eachServiceHasItsOwnBudget() {
        RetryBudget budget = RetryBudget.of(OPTIONS);
        IntStream.range(0, 100).forEach(retry -> budget.trySpend("s", 1, 0));
        assertTrue(budget.trySpend("t", 1, 0));
    }

    @Test
    void askingDoesNotSpend() {
        RetryBudget budget = RetryBudget.of(OPTIONS);
        IntStream.range(0, 1_000).forEach(question -> assertTrue(budget.allows("s", 1, 0)));
        while (budget.allows("s", 1, 0)) {
            assertTrue(budget.trySpend("s", 1, 0));
        }
        assertFalse(budget.trySpend("s", 1, 0));
    }
}
