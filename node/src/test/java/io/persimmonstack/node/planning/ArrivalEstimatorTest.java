package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.List;
import org.junit.jupiter.api.Test;

class ArrivalEstimatorTest {
    private static final Engine ENGINE = PlanningTestData.engine("held", "copied", "absent", "coming", "quiet");

    @Test
    void estimateUsesFastestCopyOrLoadInProgress() {
        RunnerState holder = PlanningTestData.runner("r1", PlanningTestData.heldModel("held"));
        RunnerState copyOwner = PlanningTestData.withDiskCopies(PlanningTestData.runner("r2"), "copied");
        ServiceState state = PlanningTestData.state(
                ENGINE,
                List.of(holder, copyOwner),
                PlanningTestData.waitingDemand("held", 1),
                PlanningTestData.waitingDemand("copied", 1),
                PlanningTestData.waitingDemand("absent", 1),
                PlanningTestData.waitingDemand("coming", 1),
                PlanningTestData.demand("quiet", 3));
        List<ModelArrival> arrivals = ArrivalEstimator.estimate(
                "s", state, List.of(new RunnerStateTracker.LoadInProgress("coming", "v1", 70)));
        assertEquals(1_000, earliestMs(arrivals, "copied"));
        assertEquals(6_000, earliestMs(arrivals, "absent"));
        assertEquals(70, earliestMs(arrivals, "coming"));
        assertEquals(3, arrivals.size());
    }

    private static long earliestMs(List<ModelArrival> arrivals, String model) {
        return arrivals.stream()
                .filter(arrival -> arrival.model().equals(model))
                .findFirst()
                .orElseThrow()
                .earliestMs();
    }
}
