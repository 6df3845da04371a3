package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A new leader must pause before its first order, for runners that do not check the term of orders. */
class PlannerTest {
    private static final long PAUSE_MS = 400;
    private final CountDownLatch ordered = new CountDownLatch(1);

    private final RunnerControl control = new RunnerControl() {
        @Override
        public OrderAnswer order(Runner runner, PlacementOrder order, OrderPrecondition precondition) {
            ordered.countDown();
            return OrderAnswer.ACCEPTED;
        }

        @Override
        public RunnerStatus status(Runner runner) {
            return new RunnerStatus(false, 0, List.of(), Set.of(), Set.of(), Set.of("a"));
        }
    };

    private static FleetView fleet() {
        Engine engine = new Engine(4, 1_000, 100, 0, 3, Map.of("a", new Model("a", 10, 5, 1, 1, 0)));
        Runner runner = new Runner("r1", 1, "s", PlannerFixture.ADDRESS, "z", 4, false, List.of(), Set.of(), Set.of());
        return PlannerFixture.fleet(engine, List.of(runner));
    }

    @Test
    void newLeaderPausesBeforeFirstOrder() throws InterruptedException {
        NodeReports reports = NodeReports.create();
        reports.update(
                "n1",
                List.of(),
                List.of(new ModelDemand("s", new ModelRef("a", ""), 1, 1, 0, 3_000)),
                System.nanoTime());
        long startNanos = System.nanoTime();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
                Planner planner =
                        PlannerFixture.start(fleet(), reports, () -> OptionalLong.of(41), PAUSE_MS, control, threads)) {
            assertTrue(planner.snapshotsFor("n2") != null);
            assertTrue(ordered.await(10, TimeUnit.SECONDS), "no order within 10 seconds");
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(waitedMs >= PAUSE_MS, "first order after " + waitedMs + " ms");
        }
    }
}
