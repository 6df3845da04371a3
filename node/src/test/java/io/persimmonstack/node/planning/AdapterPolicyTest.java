package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Load pattern: many adapters of one model take turns in few places. */
class AdapterPolicyTest {
    private static final Engine ENGINE = Fleets.engine("a", "b");

    private static DemandState adapter(String name, int waiting, double perSecond) {
        return new DemandState(new ModelRef("a", name), waiting, 100, 500, perSecond);
    }

    @Test
    void adapterIsLoadedWhereItsModelIsHeldAndLeastIsGoingOn() {
        RunnerState busy = Fleets.using(Fleets.runner("r1", Fleets.held("a")), Map.of(new ModelRef("a", ""), 9));
        RunnerState calm = Fleets.runner("r2", Fleets.held("a"));
        RunnerState other = Fleets.runner("r3", Fleets.held("b"));
        List<Directive> plan = AdapterPolicy.plan(Fleets.state(ENGINE, List.of(busy, calm, other), adapter("x", 1, 1)));
        assertEquals(List.of(new Directive("r2", List.of(new PlacementOrder.LoadAdapter("a", "x")), "waiting")), plan);
    }

    @Test
    void fullPlacesGiveUpTheAdapterAskedForLeast() {
        RunnerState runner = Fleets.runner("r1", Fleets.held("a", "x", "y"));
        List<Directive> plan = AdapterPolicy.plan(
                Fleets.state(ENGINE, List.of(runner), adapter("z", 1, 1), adapter("x", 0, 2), adapter("y", 0, 0.1)));
        assertEquals(
                List.of(new PlacementOrder.UnloadAdapter("a", "y"), new PlacementOrder.LoadAdapter("a", "z")),
                plan.getFirst().orders());
    }

    @Test
    void adapterInUseOrAwaitedIsNoVictim() {
        RunnerState runner =
                Fleets.using(Fleets.runner("r1", Fleets.held("a", "x", "y")), Map.of(new ModelRef("a", "x"), 1));
        List<Directive> plan =
                AdapterPolicy.plan(Fleets.state(ENGINE, List.of(runner), adapter("z", 1, 1), adapter("y", 1, 0.1)));
        assertTrue(plan.isEmpty());
    }

    @Test
    void adapterInTransitTakesItsMemory() {
        Engine tight =
                new Engine(10, 100_000, 30_100, 8, 3, Map.of("a", new Model("a", 30_000, 6_000, 1_000, 400, 60)));
        RunnerState runner = Fleets.runner("r1", Fleets.held("a"));
        assertEquals(
                1,
                AdapterPolicy.plan(Fleets.state(tight, List.of(runner), adapter("x", 1, 1)))
                        .size());
        RunnerState loading = Fleets.withAdapterComing(runner, new ModelRef("a", "y"));
        assertTrue(AdapterPolicy.plan(Fleets.state(tight, List.of(loading), adapter("x", 1, 1)))
                .isEmpty());
    }

    @Test
    void runnerThatLoadsAModelIsLeftAlone() {
        RunnerState runner = Fleets.loading(Fleets.runner("r1", Fleets.held("a")), "b");
        assertTrue(AdapterPolicy.plan(Fleets.state(ENGINE, List.of(runner), adapter("x", 1, 1)))
                .isEmpty());
    }
}
