package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Orders for models reach the runner when the order before them is complete. A runner refuses each order that comes
 * earlier: of 5,751 orders in a fleet with 42 runners, 3,436 were refused.
 */
class OrderTimingTest {
    private static final Engine ENGINE = new Engine(
            4,
            1_000,
            20,
            4,
            3,
            Map.of(
                    "a", new Model("a", 10, 5, 30, 30, 1),
                    "b", new Model("b", 10, 5, 30, 30, 1),
                    "c", new Model("c", 10, 5, 30, 30, 1)));
    private static final Runner RUNNER = new Runner(
            "r1",
            1,
            "v1",
            "s",
            PlannerFixture.ADDRESS,
            "z",
            4,
            false,
            List.of(new HeldModel("a", 1, Set.of())),
            Set.of(),
            Set.of("a", "b", "c"));

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final SimulatedRunners runners =
            new SimulatedRunners(4, false, (runner, order) -> SimulatedRunners.OrderFault.NONE, threads);
    private final RunnerStateTracker tracker = new RunnerStateTracker(RUNNER);
    private final OrderExecutor executor =
            OrderExecutor.of("n1", runners, NodeMetrics.in(new MetricRegistry()), cause -> {});

    @AfterEach
    void close() {
        threads.close();
    }

    private void start(long unloadMs, long loadMs) {
        runners.modelTimes(unloadMs, loadMs);
        runners.add("r1");
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(
                new RunnerStatus(
                        false, 0, List.of(new HeldModel("a", 1, Set.of())), Set.of(), Set.of(), Set.of("a", "b", "c")),
                System.nanoTime());
    }

    private void execute(PlacementOrder... orders) {
        Directive directive = new Directive("r1", tracker.sequence(), List.of(orders), "waiting");
        assertTrue(tracker.beginDirective(directive, ENGINE, System.nanoTime()));
        executor.execute(new DirectiveTask(
                tracker, directive, 1, ENGINE, () -> true, model -> runners.isRunning("r1", model) ? 1 : 0));
    }

    private void swap(String victim, String loaded) {
        execute(new PlacementOrder.UnloadModel(victim), new PlacementOrder.LoadModel(loaded));
    }

    /** The load was sent at once and refused, and again after a fixed time. */
    @Test
    void loadFollowsTheUnloadOfAnIdleModelWithoutConflict() {
        start(20, 30);
        swap("a", "b");
        swap("b", "c");
        assertEquals(List.of(), runners.conflicts());
        assertEquals("c", tracker.servedModels().getFirst().name());
    }

    /** The load was refused each 80 ms for as long as the requests of the unloaded model ran. */
    @Test
    void loadWaitsForTheRequestsOfTheUnloadedModel() {
        start(20, 30);
        runners.run("r1", "a", 900);
        swap("a", "b");
        assertTrue(runners.conflicts().size() <= 1, () -> "refused: " + runners.conflicts());
        assertEquals("b", tracker.servedModels().getFirst().name());
    }

    /** A load that took longer than configured ended the next directive; the runner got no order until a status. */
    @Test
    void orderAfterALoadThatTakesLongerThanConfiguredIsRetried() {
        start(20, 100);
        execute(new PlacementOrder.LoadModel("b"));
        execute(new PlacementOrder.LoadModel("c"));
        assertEquals(3, tracker.servedModels().size());
    }

    /**
     * A status shows the state 0.2 s ago. One requested right after a load showed it in progress: the model was
     * withdrawn from the nodes, and the runner got no orders until another status.
     */
    @Test
    void statusIsNotRequestedRightAfterALoad() throws InterruptedException {
        start(20, 30);
        PlacementOrder load = new PlacementOrder.LoadModel("b");
        assertTrue(tracker.beginDirective(new Directive("r1", 0, List.of(load), "waiting"), ENGINE, System.nanoTime()));
        tracker.orderAccepted(System.nanoTime());
        TimeUnit.MILLISECONDS.sleep(400);
        tracker.applyOrder(load);
        tracker.endDirective();
        assertFalse(tracker.needsStatus(System.nanoTime()));
        TimeUnit.MILLISECONDS.sleep(400);
        assertTrue(tracker.needsStatus(System.nanoTime()));
    }

    /** The time that an unload takes is learned from refused orders, and given up again when unloads get faster. */
    @Test
    void timeOfAnUnloadIsLearned() {
        UnloadTiming timing = new UnloadTiming();
        for (int i = 0; i < 200; i++) {
            timing.record(timing.unloadMs() < 120);
        }
        assertTrue(timing.unloadMs() >= 115 && timing.unloadMs() <= 140, "learned " + timing.unloadMs());
        for (int i = 0; i < 200; i++) {
            timing.record(timing.unloadMs() < 30);
        }
        assertTrue(timing.unloadMs() < 50, "learned " + timing.unloadMs());
    }
}
