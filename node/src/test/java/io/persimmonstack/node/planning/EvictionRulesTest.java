package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which models give way where runners have room for two of many requested ones. */
class EvictionRulesTest {
    private static final Engine ENGINE = PlanningTestData.engine("a", "b", "c");

    private static RunnerState runner(String id, int requestsOfA, int requestsOfB) {
        return PlanningTestData.withRequests(
                PlanningTestData.runner(id, PlanningTestData.heldModel("a"), PlanningTestData.heldModel("b")),
                Map.of(new ModelRef("a", ""), requestsOfA, new ModelRef("b", ""), requestsOfB));
    }

    private static FleetDemand waiting(long oldestWaitMs, long targetMs) {
        return new FleetDemand(new ModelRef("c", ""), 1, oldestWaitMs, targetMs, 0.2);
    }

    private static List<Directive> plan(List<RunnerState> runners, FleetDemand... demands) {
        List<RunnerState> withCopies = runners.stream()
                .map(runner -> PlanningTestData.withDiskCopies(runner, "a", "b", "c"))
                .toList();
        return ModelPolicy.plan(PlanningTestData.state(ENGINE, withCopies, demands));
    }

    /** The load took 1 s and the requests of the victim as long: after 1.5 s, a target of 3 s was missed always. */
    @Test
    void modelInUseIsEvictedWhileTheTargetCanStillBeMet() {
        List<RunnerState> runners = List.of(runner("r1", 1, 1));
        assertTrue(plan(runners, waiting(900, 3_000)).isEmpty());
        assertFalse(plan(runners, waiting(1_100, 3_000)).isEmpty());
    }

    /** Evicting a model in use at once delayed its requests and adapter orders, and the target was missed anyway. */
    @Test
    void modelInUseStaysAtFirstWhereTheTargetIsMissedAnyway() {
        List<RunnerState> runners = List.of(runner("r1", 1, 1));
        assertTrue(plan(runners, waiting(1_400, 2_000)).isEmpty());
        assertFalse(plan(runners, waiting(1_600, 2_000)).isEmpty());
    }

    /** A request that can wait long leaves a model in use alone at first. */
    @Test
    void modelInUseStaysForRequestWithLongTarget() {
        List<RunnerState> runners = List.of(runner("r1", 1, 1));
        assertTrue(plan(runners, waiting(1_400, 20_000)).isEmpty());
    }

    /** Replicas of frequent models that were in use stayed, however many there were. */
    @Test
    void spareReplicaInUseOfFrequentModelGivesWay() {
        RunnerState full = runner("r1", 1, 1);
        RunnerState other = PlanningTestData.withRequests(
                PlanningTestData.runner("r2", PlanningTestData.heldModel("a"), PlanningTestData.heldModel("d")),
                Map.of(new ModelRef("a", ""), 1));
        Engine engine = PlanningTestData.engine("a", "b", "c", "d");
        List<RunnerState> runners = List.of(
                PlanningTestData.withDiskCopies(full, "a", "b", "c", "d"),
                RunnerStateBuilder.from(other).unknown().build());
        List<Directive> plan = ModelPolicy.plan(PlanningTestData.state(
                engine,
                runners,
                waiting(1_600, 3_000),
                PlanningTestData.demand("a", 11),
                PlanningTestData.demand("b", 11)));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("a"), new PlacementOrder.LoadModel("c")),
                plan.getFirst().orders());
    }

    /** A rare model at a runner that others crowd evicted a rare one elsewhere, which came back in the same way. */
    @Test
    void rareModelAtCrowdedRunnerEvictsNothing() {
        RunnerState crowded = runner("r1", 1, 8);
        RunnerState other =
                PlanningTestData.runner("r2", PlanningTestData.heldModel("b"), PlanningTestData.heldModel("c"));
        FleetDemand rare = PlanningTestData.demand("a", 0.4);
        assertTrue(plan(List.of(crowded, other), rare, PlanningTestData.demand("c", 0.1))
                .isEmpty());
        RunnerState withRoom = PlanningTestData.runner("r2", PlanningTestData.heldModel("b"));
        assertEquals(
                List.of(new PlacementOrder.LoadModel("a")),
                plan(List.of(crowded, withRoom), rare).getFirst().orders());
    }

    /** A model whose own long answers fill its runner needs a replica, whatever its request rate. */
    @Test
    void modelThatCrowdsItsRunnerEvictsIdleOne() {
        RunnerState crowded = runner("r1", 8, 1);
        RunnerState other =
                PlanningTestData.runner("r2", PlanningTestData.heldModel("b"), PlanningTestData.heldModel("c"));
        assertFalse(
                plan(List.of(crowded, other), PlanningTestData.demand("a", 0.4)).isEmpty());
    }
}
