package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Workload with many adapters of one model that alternate in few adapter slots. */
class AdapterPolicyTest {
    private static final Engine ENGINE = PlanningTestData.engine("a", "b");

    private static FleetDemand adapterDemand(String name, int waiting, double perSecond) {
        return new FleetDemand(new ModelRef("a", name), waiting, 100, 500, perSecond);
    }

    @Test
    void adapterIsLoadedOnLeastUtilisedRunnerThatHoldsItsModel() {
        RunnerState busy = PlanningTestData.withRequests(
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a")), Map.of(new ModelRef("a", ""), 9));
        RunnerState idle = PlanningTestData.runner("r2", PlanningTestData.heldModel("a"));
        RunnerState other = PlanningTestData.runner("r3", PlanningTestData.heldModel("b"));
        List<Directive> plan = AdapterPolicy.plan(
                PlanningTestData.state(ENGINE, List.of(busy, idle, other), adapterDemand("x", 1, 1)));
        assertEquals(
                List.of(new Directive("r2", 0, List.of(new PlacementOrder.LoadAdapter("a", "x")), "waiting")), plan);
    }

    @Test
    void leastRequestedAdapterIsReplacedWhenSlotsAreFull() {
        RunnerState runner = PlanningTestData.runner("r1", PlanningTestData.heldModel("a", "x", "y"));
        List<Directive> plan = AdapterPolicy.plan(PlanningTestData.state(
                ENGINE,
                List.of(runner),
                adapterDemand("z", 1, 1),
                adapterDemand("x", 0, 2),
                adapterDemand("y", 0, 0.1)));
        assertEquals(
                List.of(new PlacementOrder.UnloadAdapter("a", "y"), new PlacementOrder.LoadAdapter("a", "z")),
                plan.getFirst().orders());
    }

    @Test
    void adapterInUseOrWithWaitingRequestsIsNotEvicted() {
        RunnerState runner = PlanningTestData.withRequests(
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a", "x", "y")),
                Map.of(new ModelRef("a", "x"), 1));
        List<Directive> plan = AdapterPolicy.plan(
                PlanningTestData.state(ENGINE, List.of(runner), adapterDemand("z", 1, 1), adapterDemand("y", 1, 0.1)));
        assertTrue(plan.isEmpty());
    }

    @Test
    void loadingAdapterOccupiesMemory() {
        Engine tight =
                new Engine(10, 100_000, 30_100, 8, 3, Map.of("a", new Model("a", 30_000, 6_000, 1_000, 400, 60)));
        RunnerState runner = PlanningTestData.runner("r1", PlanningTestData.heldModel("a"));
        assertEquals(
                1,
                AdapterPolicy.plan(PlanningTestData.state(tight, List.of(runner), adapterDemand("x", 1, 1)))
                        .size());
        RunnerState loading = PlanningTestData.withLoadingAdapter(runner, new ModelRef("a", "y"));
        assertTrue(AdapterPolicy.plan(PlanningTestData.state(tight, List.of(loading), adapterDemand("x", 1, 1)))
                .isEmpty());
    }

    /** Runner overfilled: one small adapter was unloaded for a larger one, and the runner had no memory for it. */
    @Test
    void evictedAdaptersFreeEnoughMemory() {
        Model large = new Model("a", 20_000, 6_000, 1_000, 400, 60);
        Model small = new Model("b", 10_000, 6_000, 1_000, 400, 12);
        Engine tight = new Engine(10, 100_000, 30_072, 8, 3, Map.of("a", large, "b", small));
        RunnerState runner = PlanningTestData.runner(
                "r1", PlanningTestData.heldModel("a", "y"), PlanningTestData.heldModel("b", "x"));
        List<PlacementOrder> orders = AdapterPolicy.plan(PlanningTestData.state(
                        tight, List.of(runner), adapterDemand("z", 1, 1), adapterDemand("y", 0, 5)))
                .getFirst()
                .orders();
        assertTrue(orders.contains(new PlacementOrder.UnloadAdapter("a", "y")), orders.toString());
        assertEquals(new PlacementOrder.LoadAdapter("a", "z"), orders.getLast());
    }

    /** Runner overfilled: one adapter was unloaded on a runner that had more adapters held and loading than slots. */
    @Test
    void evictedAdaptersFreeASlotBesideLoadingAdapters() {
        RunnerState full = PlanningTestData.runner("r1", PlanningTestData.heldModel("a", "x", "y"));
        RunnerState runner = PlanningTestData.withLoadingAdapter(full, new ModelRef("a", "late"));
        List<Directive> plan =
                AdapterPolicy.plan(PlanningTestData.state(ENGINE, List.of(runner), adapterDemand("z", 1, 1)));
        assertEquals(3, plan.getFirst().orders().size());
    }

    @Test
    void runnerThatLoadsAModelGetsNoAdapterOrders() {
        RunnerState runner =
                PlanningTestData.loadingModel(PlanningTestData.runner("r1", PlanningTestData.heldModel("a")), "b");
        assertTrue(AdapterPolicy.plan(PlanningTestData.state(ENGINE, List.of(runner), adapterDemand("x", 1, 1)))
                .isEmpty());
    }
}
