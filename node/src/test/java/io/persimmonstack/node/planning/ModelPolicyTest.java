package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ModelPolicyTest {
    private static final Engine ENGINE = PlanningTestData.engine("a", "b", "c", "d", "e");

    @Test
    void waitingModelReplacesLeastRequestedModel() {
        RunnerState runner =
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b"));
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(
                ENGINE,
                List.of(runner),
                PlanningTestData.waitingDemand("c", 1),
                PlanningTestData.demand("a", 0.5),
                PlanningTestData.demand("b", 0.1)));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("b"), new PlacementOrder.LoadModel("c")),
                plan.getFirst().orders());
    }

    @Test
    void runnerWithDiskCopyIsPreferredToStoreLoad() {
        RunnerState withoutCopy = PlanningTestData.runner("r1");
        RunnerState withCopy = PlanningTestData.withDiskCopies(PlanningTestData.runner("r2"), "c");
        List<Directive> plan = ModelPolicy.plan(
                PlanningTestData.state(ENGINE, List.of(withoutCopy, withCopy), PlanningTestData.waitingDemand("c", 1)));
        assertEquals("r2", plan.getFirst().runner());
    }

    @Test
    void spareReplicaIsEvictedBeforeLastReplicaOfRareModel() {
        RunnerState one =
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b"));
        RunnerState other =
                PlanningTestData.runner("r2", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("d"));
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(
                ENGINE,
                List.of(one, other),
                PlanningTestData.waitingDemand("c", 1),
                PlanningTestData.demand("a", 5),
                PlanningTestData.demand("b", 0.2),
                PlanningTestData.demand("d", 0.2)));
        assertEquals(
                new PlacementOrder.UnloadModel("a"), plan.getFirst().orders().getFirst());
    }

    @Test
    void modelInUseIsNotEvictedForNewRequest() {
        RunnerState runner = PlanningTestData.withRequests(
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b")),
                Map.of(new ModelRef("a", ""), 1, new ModelRef("b", ""), 1));
        assertTrue(ModelPolicy.plan(
                        PlanningTestData.state(ENGINE, List.of(runner), PlanningTestData.waitingDemand("c", 1)))
                .isEmpty());
    }

    @Test
    void modelInUseIsEvictedForRequestThatHasWaitedLong() {
        RunnerState runner = PlanningTestData.withRequests(
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b")),
                Map.of(new ModelRef("a", ""), 1, new ModelRef("b", ""), 1));
        FleetDemand longWaiting = new FleetDemand(new ModelRef("c", ""), 3, 2_000, 3_000, 0.5);
        assertFalse(ModelPolicy.plan(PlanningTestData.state(ENGINE, List.of(runner), longWaiting))
                .isEmpty());
    }

    @Test
    void modelWithWaitingRequestsIsNotEvicted() {
        RunnerState runner =
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b"));
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(
                ENGINE,
                List.of(runner),
                PlanningTestData.waitingDemand("c", 1),
                PlanningTestData.waitingDemand("a", 1),
                PlanningTestData.waitingDemand("b", 1)));
        assertTrue(plan.isEmpty());
    }

    @Test
    void highDemandIsServedBeforeRareModel() {
        RunnerState runner =
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b"));
        FleetDemand rare = new FleetDemand(new ModelRef("c", ""), 2, 1_000, 3_000, 0.2);
        FleetDemand busy = new FleetDemand(new ModelRef("d", ""), 5, 600, 500, 9);
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(ENGINE, List.of(runner), rare, busy));
        assertEquals(new PlacementOrder.LoadModel("d"), plan.getFirst().orders().getLast());
    }

    @Test
    void crowdedModelGetsAnotherReplica() {
        RunnerState full = PlanningTestData.withRequests(
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a")),
                Map.of(new ModelRef("a", ""), PlanningTestData.SLOTS));
        RunnerState idle = PlanningTestData.runner("r2", PlanningTestData.heldModel("b"));
        List<Directive> plan =
                ModelPolicy.plan(PlanningTestData.state(ENGINE, List.of(full, idle), PlanningTestData.demand("a", 8)));
        assertEquals(new Directive("r2", 0, List.of(new PlacementOrder.LoadModel("a")), "crowded"), plan.getFirst());
    }

    @Test
    void storeLoadsStayWithinConcurrencyAndRateLimits() {
        List<RunnerState> runners = List.of(PlanningTestData.runner("r1"), PlanningTestData.runner("r2"));
        ServiceState busyStore = new ServiceState(
                ENGINE, runners, List.of(PlanningTestData.waitingDemand("a", 1)), Map.of(), 4, true, true);
        assertTrue(ModelPolicy.plan(busyStore).isEmpty());
        ServiceState exhaustedRate = new ServiceState(
                ENGINE, runners, List.of(PlanningTestData.waitingDemand("a", 1)), Map.of(), 0, false, true);
        assertTrue(ModelPolicy.plan(exhaustedRate).isEmpty());
    }

    @Test
    void idleRunnerPreloadsModelWithoutCopy() {
        RunnerState one = PlanningTestData.runner("r1", PlanningTestData.heldModel("a"));
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(ENGINE, List.of(one)));
        assertEquals("ahead", plan.getFirst().reason());
        assertEquals(1, plan.size());
    }

    @Test
    void modelThatIsLoadingIsNotOrderedAgain() {
        RunnerState one = PlanningTestData.loadingModel(PlanningTestData.runner("r1"), "c");
        RunnerState other = PlanningTestData.withDiskCopies(PlanningTestData.runner("r2"), "a", "b", "c", "d", "e");
        assertTrue(ModelPolicy.plan(
                        PlanningTestData.state(ENGINE, List.of(one, other), PlanningTestData.waitingDemand("c", 3)))
                .isEmpty());
    }

    @Test
    void runnerWithUnknownStateGetsNoOrders() {
        RunnerState unknown = RunnerStateBuilder.runner("r2").unknown().build();
        assertTrue(ModelPolicy.plan(
                        PlanningTestData.state(ENGINE, List.of(unknown), PlanningTestData.waitingDemand("c", 1)))
                .isEmpty());
    }

    @Test
    void requestWaitsForBusyRunnerWithDiskCopyBeforeLoadingFromStore() {
        RunnerState idle = PlanningTestData.runner("r1");
        RunnerState busy =
                PlanningTestData.loadingModel(PlanningTestData.withDiskCopies(PlanningTestData.runner("r2"), "c"), "d");
        RunnerState copies = PlanningTestData.loadingModel(
                PlanningTestData.withDiskCopies(PlanningTestData.runner("r3"), "a", "b", "d", "e"), "e");
        List<RunnerState> runners = List.of(idle, busy, copies);
        assertTrue(ModelPolicy.plan(PlanningTestData.state(ENGINE, runners, PlanningTestData.waitingDemand("c", 1)))
                .isEmpty());
        FleetDemand longWaiting = new FleetDemand(new ModelRef("c", ""), 1, 6_000, 3_000, 0.1);
        assertEquals(
                "r1",
                ModelPolicy.plan(PlanningTestData.state(ENGINE, runners, longWaiting))
                        .getFirst()
                        .runner());
    }

    @Test
    void smallModelStaysWhenEvictingLargeOneSuffices() {
        Map<String, Model> models = Map.of(
                "small", new Model("small", 20_000, 6_000, 1_000, 400, 0),
                "large", new Model("large", 40_000, 6_000, 1_000, 400, 0),
                "wanted", new Model("wanted", 40_000, 6_000, 1_000, 400, 0));
        Engine engine = new Engine(PlanningTestData.SLOTS, 100_000, 60_000, 0, 3, models);
        RunnerState runner =
                PlanningTestData.runner("r1", PlanningTestData.heldModel("small"), PlanningTestData.heldModel("large"));
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(
                engine,
                List.of(runner),
                PlanningTestData.waitingDemand("wanted", 1),
                PlanningTestData.demand("large", 0.5)));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("large"), new PlacementOrder.LoadModel("wanted")),
                plan.getFirst().orders());
    }

    @Test
    void nothingIsPreloadedUntilRunnersAreStable() {
        RunnerState one = PlanningTestData.runner("r1", PlanningTestData.heldModel("a"));
        assertTrue(ModelPolicy.plan(new ServiceState(ENGINE, List.of(one), List.of(), Map.of(), 0, true, false))
                .isEmpty());
    }

    @Test
    void recentlyLoadedModelIsNotEvicted() {
        RunnerState runner = PlanningTestData.withRecentlyLoaded(
                PlanningTestData.runner("r1", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b")),
                "a",
                "b");
        FleetDemand longWaiting = new FleetDemand(new ModelRef("c", ""), 3, 4_000, 3_000, 0.5);
        assertTrue(ModelPolicy.plan(PlanningTestData.state(ENGINE, List.of(runner), longWaiting))
                .isEmpty());
    }

    /** Plans for a full runner with a shared and an idle model, and one in an unknown state that has the shared one. */
    private static List<Directive> planBesideUnknownRunner(String shared, FleetDemand... demands) {
        Engine engine = PlanningTestData.engine(shared, "idle", "new");
        RunnerState both =
                PlanningTestData.runner("r1", PlanningTestData.heldModel(shared), PlanningTestData.heldModel("idle"));
        RunnerState other = RunnerStateBuilder.from(PlanningTestData.runner("r2", PlanningTestData.heldModel(shared)))
                .unknown()
                .build();
        return ModelPolicy.plan(PlanningTestData.state(engine, List.of(both, other), demands));
    }

    /** The spare replica of a model in demand is cheaper to evict than the idle model, but not for a preload. */
    @Test
    void preloadReplacesIdleModelBesideSpareReplicaOfBusyOne() {
        List<Directive> plan = planBesideUnknownRunner("busy", PlanningTestData.demand("busy", 3));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("idle"), new PlacementOrder.LoadModel("new")),
                plan.getFirst().orders());
    }

    /** A model that requests wait for stays, but another one makes room for the one that no runner holds. */
    @Test
    void waitingModelReplacesTheOneThatMayGo() {
        List<Directive> plan = planBesideUnknownRunner(
                "asked", PlanningTestData.waitingDemand("asked", 2), PlanningTestData.waitingDemand("new", 1));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("idle"), new PlacementOrder.LoadModel("new")),
                plan.getFirst().orders());
    }
}
