package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Demand by the reports of several nodes, and how long requests that have ended count. */
class NodeReportsTest {
    private static final ModelRef MODEL = new ModelRef("a", "");
    private final NodeReports reports = NodeReports.create();

    private void report(String node, int waiting, int arrived, long nowNanos) {
        reports.update(node, List.of(), List.of(new ModelDemand("s", MODEL, waiting, arrived, 0, 3_000)), nowNanos);
    }

    @Test
    void rateOfModelThatIsNoLongerRequestedIsDroppedOnceItIsZero() {
        report("n1", 0, 1, 0);
        assertEquals(1, reports.demands("s", TimeUnit.MINUTES.toNanos(10)).size(), "the rate has not decayed to 0");
        assertEquals(List.of(), reports.demands("s", TimeUnit.HOURS.toNanos(2)));
    }

    @Test
    void waitingRequestsCountAlsoWithoutArrivals() {
        report("n1", 3, 0, 0);
        report("n2", 2, 0, 0);
        assertEquals(5, reports.demands("s", 1).getFirst().waiting());
        assertEquals(5, reports.demands("s", 2).getFirst().waiting(), "also after their rate of 0 was dropped");
    }

    @Test
    void requestsAfterAPauseStartANewRate() {
        report("n1", 0, 1, 0);
        long laterNanos = TimeUnit.HOURS.toNanos(2);
        assertTrue(reports.demands("s", laterNanos).isEmpty());
        report("n1", 0, 1, laterNanos);
        assertTrue(reports.demands("s", laterNanos).getFirst().perSecond() > 0);
    }
}
