package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.List;
import java.util.Map;
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

    /** A request was told to wait for a model whose only runners with a copy were busy for longer than its limit. */
    @Test
    void loadBehindAnotherOneIsEstimatedWithBoth() {
        RunnerState busy = PlanningTestData.loadingModel(
                PlanningTestData.withDiskCopies(PlanningTestData.runner("r1"), "copied", "coming"), "coming");
        ServiceState state = PlanningTestData.state(ENGINE, List.of(busy), PlanningTestData.waitingDemand("copied", 1));
        List<ModelArrival> arrivals = ArrivalEstimator.estimate(
                "s", state, List.of(new RunnerStateTracker.LoadInProgress("coming", "v1", 700)));
        assertEquals(1_700, earliestMs(arrivals, "copied"));
    }

    /** While the weight store serves as many loads as are allowed, the next one starts when the first of them ends. */
    @Test
    void loadFromTheBusyWeightStoreStartsAfterTheFirstInProgress() {
        RunnerState idle = PlanningTestData.runner("r1");
        RunnerState busy = PlanningTestData.loadingModel(PlanningTestData.runner("r2"), "coming");
        ServiceState state = new ServiceState(
                ENGINE,
                List.of(idle, busy),
                List.of(PlanningTestData.waitingDemand("absent", 1)),
                Map.of(),
                1,
                true,
                new StoreLimits(1, 1),
                true);
        List<ModelArrival> arrivals = ArrivalEstimator.estimate(
                "s", state, List.of(new RunnerStateTracker.LoadInProgress("coming", "v1", 2_000)));
        assertEquals(8_000, earliestMs(arrivals, "absent"));
    }

    private static long earliestMs(List<ModelArrival> arrivals, String model) {
        return arrivals.stream()
                .filter(arrival -> arrival.model().equals(model))
                .findFirst()
                .orElseThrow()
                .earliestMs();
    }
}
