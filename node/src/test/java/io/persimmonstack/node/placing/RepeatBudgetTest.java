package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RepeatBudgetTest {
    private static final RepeatBudgetOptions OPTIONS = new RepeatBudgetOptions(0.2, 50, 1_000);

    @Test
    void nodesThatCannotSpeakToEachOtherStayWithinTheBudgetTogether() {
        int nodes = 5;
        List<RepeatBudget> budgets = new ArrayList<>();
        IntStream.range(0, nodes).forEach(node -> budgets.add(RepeatBudget.of(OPTIONS)));
        long spent = 0;
        for (RepeatBudget budget : budgets) {
            IntStream.range(0, 100).forEach(request -> budget.request("s", 10));
            spent += IntStream.range(0, 1_000)
                    .filter(repeat -> budget.spend("s", nodes, 20))
                    .count();
        }
        assertTrue(spent <= 0.2 * 500 + 50, "spent " + spent);
        assertTrue(spent > 0, "spent nothing");
    }

    @Test
    void repeatsOfAnEarlierWindowDoNotCount() {
        RepeatBudget budget = RepeatBudget.of(OPTIONS);
        long first = IntStream.range(0, 100)
                .filter(repeat -> budget.spend("s", 1, 0))
                .count();
        long later = IntStream.range(0, 100)
                .filter(repeat -> budget.spend("s", 1, 1_001))
                .count();
        assertEquals(first, later);
    }

    @Test
    void servicesHaveBudgetsOfTheirOwn() {
        RepeatBudget budget = RepeatBudget.of(OPTIONS);
        IntStream.range(0, 100).forEach(repeat -> budget.spend("s", 1, 0));
        assertTrue(budget.spend("t", 1, 0));
    }
}
