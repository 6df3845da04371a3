package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNoticeListener;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** The pause of a new leader before its first order, and the estimated arrivals of models of several services. */
class PlannerTest {
    private static final long PAUSE_MS = 400;
    private static final long SLOW_LOAD_MS = 60_000;
    private static final long QUICK_LOAD_MS = 5;
    private final CountDownLatch ordered = new CountDownLatch(1);

    private final RunnerControl control = new RunnerControl() {
        @Override
        public void onNotice(RunnerNoticeListener listener) {}

        @Override
        public OrderAnswer order(
                Runner runner, PlacementOrder order, OrderPrecondition precondition, BooleanSupplier stillLeads) {
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
        Runner runner =
                new Runner("r1", 1, "v1", "s", PlannerFixture.ADDRESS, "z", 4, false, List.of(), Set.of(), Set.of());
        return PlannerFixture.fleet(engine, List.of(runner));
    }

    @Test
    void newLeaderPausesBeforeFirstOrder() throws InterruptedException {
        NodeReports reports = NodeReports.create();
        long startNanos = System.nanoTime();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
                Planner planner =
                        PlannerFixture.start(fleet(), reports, () -> OptionalLong.of(41), PAUSE_MS, control, threads)) {
            assertTrue(planner.snapshotsFor("n2") != null);
            reportUntilOrdered(reports, startNanos + TimeUnit.SECONDS.toNanos(10));
            assertEquals(0, ordered.getCount(), "no order within 10 seconds");
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(waitedMs >= PAUSE_MS, "first order after " + waitedMs + " ms");
        }
    }

    /** Reports demand at short intervals, as a node does, since a report is valid for a limited time. */
    private void reportUntilOrdered(NodeReports reports, long endNanos) throws InterruptedException {
        do {
            reports.update(
                    "n1",
                    List.of(),
                    List.of(new ModelDemand("s", new ModelRef("a", ""), 1, 1, 0, 3_000)),
                    System.nanoTime());
        } while (!ordered.await(100, TimeUnit.MILLISECONDS) && System.nanoTime() - endNanos < 0);
    }

    /** A load in progress in one service says nothing about a model with the same name in another. */
    @Test
    void loadInProgressDelaysNoModelOfAnotherServiceWithTheSameName() throws InterruptedException {
        CountDownLatch loaded = new CountDownLatch(1);
        RunnerControl slowControl = new RunnerControl() {
            @Override
            public void onNotice(RunnerNoticeListener listener) {}

            @Override
            public OrderAnswer order(
                    Runner runner, PlacementOrder order, OrderPrecondition precondition, BooleanSupplier stillLeads) {
                ordered.countDown();
                awaitUninterrupted(loaded);
                return OrderAnswer.INVALID;
            }

            @Override
            public RunnerStatus status(Runner runner) {
                return new RunnerStatus(false, 0, List.of(), Set.of(), Set.of(), Set.of());
            }
        };
        NodeReports reports = NodeReports.create();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
                Planner planner = PlannerFixture.start(
                        twoServices(), reports, () -> OptionalLong.of(41), 0, slowControl, threads)) {
            try {
                awaitPlan(planner, reports);
                assertTrue(ordered.await(10, TimeUnit.SECONDS), "no order within 10 seconds");
                awaitPlan(planner, reports);
                awaitPlan(planner, reports);
                assertEquals(List.of(QUICK_LOAD_MS), arrivalsMs(planner, "quick"));
            } finally {
                loaded.countDown();
            }
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a fleet with a slow service, which has a runner, and a quick one, which has none. */
    private static FleetView twoServices() {
        Runner runner =
                new Runner("r1", 1, "v1", "slow", PlannerFixture.ADDRESS, "z", 4, false, List.of(), Set.of(), Set.of());
        RoutingTable routing =
                RoutingTable.of(1, List.of(), List.of(service("slow", SLOW_LOAD_MS), service("quick", QUICK_LOAD_MS)));
        FleetView view = FleetView.create();
        view.update(fleet -> fleet.withRouting(routing).withRunners(Map.of("r1", runner), 1));
        return view;
    }

    private static Service service(String name, long loadMs) {
        Engine engine = new Engine(4, 1_000, 100, 0, 3, Map.of("a", new Model("a", 10, loadMs, 1, 1, 0)));
        return new Service(name, "/health", 10, Optional.of(engine));
    }

    /** Waits for the next plan, for requests that wait for the same model in both services. */
    private static void awaitPlan(Planner planner, NodeReports reports) throws InterruptedException {
        reports.update(
                "n1",
                List.of(),
                List.of(
                        new ModelDemand("slow", new ModelRef("a", ""), 1, 1, 0, 3_000),
                        new ModelDemand("quick", new ModelRef("a", ""), 1, 1, 0, 3_000)),
                System.nanoTime());
        List<ModelArrival> before = planner.arrivals();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (planner.arrivals() == before || arrivalsMs(planner, "quick").isEmpty()) {
            assertTrue(System.nanoTime() - endNanos < 0, "no plan within 10 seconds");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static List<Long> arrivalsMs(Planner planner, String service) {
        return planner.arrivals().stream()
                .filter(arrival -> arrival.service().equals(service))
                .map(ModelArrival::earliestMs)
                .toList();
    }
}
