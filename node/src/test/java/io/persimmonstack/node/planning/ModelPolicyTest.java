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
    private static final Engine ENGINE = Fleets.engine("a", "b", "c", "d", "e");

    @Test
    void rareModelTakesThePlaceOfTheOneAskedForLeast() {
        RunnerState runner = Fleets.runner("r1", Fleets.held("a"), Fleets.held("b"));
        List<Directive> plan = ModelPolicy.plan(Fleets.state(
                ENGINE, List.of(runner), Fleets.waiting("c", 1), Fleets.asked("a", 0.5), Fleets.asked("b", 0.1)));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("b"), new PlacementOrder.LoadModel("c")),
                plan.getFirst().orders());
    }

    @Test
    void runnerWithACopyGoesBeforeOneThatWouldLoadFromTheStore() {
        RunnerState far = Fleets.runner("r1");
        RunnerState near = Fleets.withCopies(Fleets.runner("r2"), "c");
        List<Directive> plan = ModelPolicy.plan(Fleets.state(ENGINE, List.of(far, near), Fleets.waiting("c", 1)));
        assertEquals("r2", plan.getFirst().runner());
    }

    @Test
    void modelThatOthersCanStandInForGoesBeforeTheLastReplicaOfARareOne() {
        RunnerState one = Fleets.runner("r1", Fleets.held("a"), Fleets.held("b"));
        RunnerState other = Fleets.runner("r2", Fleets.held("a"), Fleets.held("d"));
        List<Directive> plan = ModelPolicy.plan(Fleets.state(
                ENGINE,
                List.of(one, other),
                Fleets.waiting("c", 1),
                Fleets.asked("a", 5),
                Fleets.asked("b", 0.2),
                Fleets.asked("d", 0.2)));
        assertEquals(
                new PlacementOrder.UnloadModel("a"), plan.getFirst().orders().getFirst());
    }

    @Test
    void modelInUseDoesNotMakeWayForAFreshRequest() {
        RunnerState runner = Fleets.using(
                Fleets.runner("r1", Fleets.held("a"), Fleets.held("b")),
                Map.of(new ModelRef("a", ""), 1, new ModelRef("b", ""), 1));
        assertTrue(ModelPolicy.plan(Fleets.state(ENGINE, List.of(runner), Fleets.waiting("c", 1)))
                .isEmpty());
    }

    @Test
    void modelInUseMakesWayForARequestThatHasWaitedLong() {
        RunnerState runner = Fleets.using(
                Fleets.runner("r1", Fleets.held("a"), Fleets.held("b")),
                Map.of(new ModelRef("a", ""), 1, new ModelRef("b", ""), 1));
        DemandState old = new DemandState(new ModelRef("c", ""), 3, 2_000, 3_000, 0.5);
        assertFalse(ModelPolicy.plan(Fleets.state(ENGINE, List.of(runner), old)).isEmpty());
    }

    @Test
    void modelWhoseRequestsWaitIsNoVictim() {
        RunnerState runner = Fleets.runner("r1", Fleets.held("a"), Fleets.held("b"));
        List<Directive> plan = ModelPolicy.plan(Fleets.state(
                ENGINE, List.of(runner), Fleets.waiting("c", 1), Fleets.waiting("a", 1), Fleets.waiting("b", 1)));
        assertTrue(plan.isEmpty());
    }

    @Test
    void shiftedDemandGoesBeforeRareModels() {
        RunnerState runner = Fleets.runner("r1", Fleets.held("a"), Fleets.held("b"));
        DemandState rare = new DemandState(new ModelRef("c", ""), 2, 1_000, 3_000, 0.2);
        DemandState busy = new DemandState(new ModelRef("d", ""), 5, 600, 500, 9);
        List<Directive> plan = ModelPolicy.plan(Fleets.state(ENGINE, List.of(runner), rare, busy));
        assertEquals(new PlacementOrder.LoadModel("d"), plan.getFirst().orders().getLast());
    }

    @Test
    void fullRunnersGetHelp() {
        RunnerState full =
                Fleets.using(Fleets.runner("r1", Fleets.held("a")), Map.of(new ModelRef("a", ""), Fleets.SLOTS));
        RunnerState idle = Fleets.runner("r2", Fleets.held("b"));
        List<Directive> plan = ModelPolicy.plan(Fleets.state(ENGINE, List.of(full, idle), Fleets.asked("a", 8)));
        assertEquals(new Directive("r2", List.of(new PlacementOrder.LoadModel("a")), "crowded"), plan.getFirst());
    }

    @Test
    void noMoreLoadsFromTheStoreThanItServesAtFullSpeed() {
        List<RunnerState> runners = List.of(Fleets.runner("r1"), Fleets.runner("r2"));
        ServiceState busyStore =
                new ServiceState(ENGINE, runners, List.of(Fleets.waiting("a", 1)), Map.of(), 4, true, true);
        assertTrue(ModelPolicy.plan(busyStore).isEmpty());
        ServiceState spentRate =
                new ServiceState(ENGINE, runners, List.of(Fleets.waiting("a", 1)), Map.of(), 0, false, true);
        assertTrue(ModelPolicy.plan(spentRate).isEmpty());
    }

    @Test
    void idleRunnersMakeCopiesAhead() {
        RunnerState one = Fleets.runner("r1", Fleets.held("a"));
        List<Directive> plan = ModelPolicy.plan(Fleets.state(ENGINE, List.of(one)));
        assertEquals("ahead", plan.getFirst().reason());
        assertEquals(1, plan.size());
    }

    @Test
    void modelThatIsComingIsNotOrderedAgain() {
        RunnerState one = Fleets.loading(Fleets.runner("r1"), "c");
        RunnerState other = Fleets.withCopies(Fleets.runner("r2"), "a", "b", "c", "d", "e");
        assertTrue(ModelPolicy.plan(Fleets.state(ENGINE, List.of(one, other), Fleets.waiting("c", 3)))
                .isEmpty());
    }

    @Test
    void leavingAndUnknownRunnersAreNotOrdered() {
        RunnerState known = Fleets.runner("r1");
        RunnerState unknown = new RunnerState(
                "r2",
                "zone-a",
                false,
                true,
                false,
                known.models(),
                known.fresh(),
                known.coming(),
                known.adaptersComing(),
                known.inMemory(),
                known.onDisk(),
                known.uses(),
                known.slots());
        assertTrue(ModelPolicy.plan(Fleets.state(ENGINE, List.of(unknown), Fleets.waiting("c", 1)))
                .isEmpty());
    }

    @Test
    void requestWaitsForABusyRunnerWithACopyInsteadOfALoadFromTheStore() {
        RunnerState idle = Fleets.runner("r1");
        RunnerState busy = Fleets.loading(Fleets.withCopies(Fleets.runner("r2"), "c"), "d");
        RunnerState copies = Fleets.loading(Fleets.withCopies(Fleets.runner("r3"), "a", "b", "d", "e"), "e");
        List<RunnerState> runners = List.of(idle, busy, copies);
        assertTrue(ModelPolicy.plan(Fleets.state(ENGINE, runners, Fleets.waiting("c", 1)))
                .isEmpty());
        DemandState old = new DemandState(new ModelRef("c", ""), 1, 6_000, 3_000, 0.1);
        assertEquals(
                "r1",
                ModelPolicy.plan(Fleets.state(ENGINE, runners, old)).getFirst().runner());
    }

    @Test
    void smallModelStaysWhereALargeOneMustMakeWayAnyhow() {
        Map<String, Model> models = Map.of(
                "small", new Model("small", 20_000, 6_000, 1_000, 400, 0),
                "large", new Model("large", 40_000, 6_000, 1_000, 400, 0),
                "wanted", new Model("wanted", 40_000, 6_000, 1_000, 400, 0));
        Engine engine = new Engine(Fleets.SLOTS, 100_000, 60_000, 0, 3, models);
        RunnerState runner = Fleets.runner("r1", Fleets.held("small"), Fleets.held("large"));
        List<Directive> plan = ModelPolicy.plan(
                Fleets.state(engine, List.of(runner), Fleets.waiting("wanted", 1), Fleets.asked("large", 0.5)));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel("large"), new PlacementOrder.LoadModel("wanted")),
                plan.getFirst().orders());
    }

    @Test
    void noCopiesAreMadeAheadBeforeAllRunnersAreKnown() {
        RunnerState one = Fleets.runner("r1", Fleets.held("a"));
        assertTrue(ModelPolicy.plan(new ServiceState(ENGINE, List.of(one), List.of(), Map.of(), 0, true, false))
                .isEmpty());
    }

    @Test
    void modelThatHasJustBeenLoadedStaysUntilItsRequestsHaveBegun() {
        RunnerState runner = Fleets.withFresh(Fleets.runner("r1", Fleets.held("a"), Fleets.held("b")), "a", "b");
        DemandState old = new DemandState(new ModelRef("c", ""), 3, 4_000, 3_000, 0.5);
        assertTrue(ModelPolicy.plan(Fleets.state(ENGINE, List.of(runner), old)).isEmpty());
    }
}
