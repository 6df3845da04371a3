package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ArrivalEstimatorTest {
    private static final Engine ENGINE = Fleets.engine("held", "copied", "absent", "coming", "quiet");

    @Test
    void estimateUsesFastestCopyOrLoadInProgress() {
        RunnerState holder = Fleets.runner("r1", Fleets.heldModel("held"));
        RunnerState copyOwner = Fleets.withDiskCopies(Fleets.runner("r2"), "copied");
        ServiceState state = Fleets.state(
                ENGINE,
                List.of(holder, copyOwner),
                Fleets.waiting("held", 1),
                Fleets.waiting("copied", 1),
                Fleets.waiting("absent", 1),
                Fleets.waiting("coming", 1),
                Fleets.demand("quiet", 3));
        List<ModelArrival> arrivals = ArrivalEstimator.estimate("s", state, Map.of("coming", 70L));
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
