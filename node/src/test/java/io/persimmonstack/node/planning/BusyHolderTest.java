package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against evicting a frequent model from all its holders: a holder that carries out orders may be unloading the
 * model just then, so that it does not take over requests of another holder.
 */
class BusyHolderTest {
    private static final String FREQUENT = "frequent";
    private static final ModelRef FREQUENT_MODEL = new ModelRef(FREQUENT, "");
    private final Engine engine = PlanningTestData.engine(FREQUENT, "second", "third", "rare");

    @Test
    void holderThatCarriesOutOrdersMakesNoReplicaSpare() {
        RunnerState busy = PlanningTestData.loadingModel(holder("busy"), "third");
        RunnerState idle = holder("idle");
        List<Directive> directives = ModelPolicy.plan(PlanningTestData.state(
                engine,
                List.of(busy, idle),
                PlanningTestData.demand(FREQUENT, 5),
                PlanningTestData.demand("second", 8),
                new FleetDemand(new ModelRef("rare", ""), 1, 2_000, 2_500, 0.2)));
        assertFalse(
                directives.stream()
                        .flatMap(directive -> directive.orders().stream())
                        .anyMatch(order -> order instanceof PlacementOrder.UnloadModel unload
                                && unload.model().equals(FREQUENT)),
                directives.toString());
    }

    /** Returns a runner whose frequent model is in use, beside one that may not be evicted yet. */
    private static RunnerState holder(String id) {
        RunnerState runner =
                PlanningTestData.runner(id, PlanningTestData.heldModel(FREQUENT), PlanningTestData.heldModel("second"));
        RunnerState withCopies = PlanningTestData.withDiskCopies(runner, FREQUENT, "second", "rare");
        RunnerState inUse = PlanningTestData.withRequests(withCopies, Map.of(FREQUENT_MODEL, 2));
        return PlanningTestData.withRecentlyLoaded(inUse, "second");
    }
}
