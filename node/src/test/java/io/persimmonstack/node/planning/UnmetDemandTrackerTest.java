package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.persimmonstack.node.config.Engine;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A rarely requested model must not be starved by a busy one when only one of them can be loaded at a time. */
class UnmetDemandTrackerTest {
    private static final String SERVICE = "s";
    private static final Engine ENGINE = PlanningTestData.engine("busy", "rare", "idle");
    private static final RunnerState RUNNER = PlanningTestData.runner("r1", PlanningTestData.heldModel("idle"));
    private final UnmetDemandTracker tracker = new UnmetDemandTracker();

    @Test
    void rareModelIsLoadedBeforeBusyOneAfterLongUnmetDemand() {
        ServiceState first =
                state(PlanningTestData.waitingDemand("busy", 4), PlanningTestData.waitingDemand("rare", 1));
        tracker.observe(SERVICE, first, 0);
        assertEquals("busy", firstLoadedModel(first, 0));
        long laterNanos = TimeUnit.SECONDS.toNanos(25);
        ServiceState second =
                state(PlanningTestData.waitingDemand("busy", 4), PlanningTestData.waitingDemand("rare", 1));
        for (long seconds = 5; seconds <= 25; seconds += 5) {
            tracker.observe(
                    SERVICE, state(PlanningTestData.waitingDemand("rare", 1)), TimeUnit.SECONDS.toNanos(seconds));
        }
        tracker.observe(
                SERVICE,
                PlanningTestData.state(
                        ENGINE, List.of(PlanningTestData.runner("r1", PlanningTestData.heldModel("busy")))),
                laterNanos);
        assertEquals("rare", firstLoadedModel(second, laterNanos));
    }

    @Test
    void pauseBetweenRequestsDoesNotResetTheDuration() {
        tracker.observe(SERVICE, state(PlanningTestData.waitingDemand("rare", 1)), 0);
        tracker.observe(SERVICE, state(), TimeUnit.SECONDS.toNanos(3));
        assertEquals(Map.of("rare", 3_000L), tracker.durationsMs(SERVICE, TimeUnit.SECONDS.toNanos(3)));
    }

    @Test
    void unmetDemandExpires() {
        tracker.observe(SERVICE, state(PlanningTestData.waitingDemand("rare", 1)), 0);
        tracker.observe(SERVICE, state(), TimeUnit.SECONDS.toNanos(11));
        assertFalse(tracker.durationsMs(SERVICE, TimeUnit.SECONDS.toNanos(11)).containsKey("rare"));
    }

    @Test
    void equalNamesInTwoServicesAreDifferentModels() {
        ServiceState waiting = state(PlanningTestData.waitingDemand("rare", 1));
        ServiceState holding = PlanningTestData.state(
                ENGINE,
                List.of(PlanningTestData.runner("r2", PlanningTestData.heldModel("rare"))),
                PlanningTestData.waitingDemand("busy", 1));
        tracker.observe(SERVICE, waiting, 0);
        tracker.observe("other", holding, 0);
        long laterNanos = TimeUnit.SECONDS.toNanos(3);
        tracker.observe(SERVICE, waiting, laterNanos);
        assertEquals(Map.of("rare", 3_000L), tracker.durationsMs(SERVICE, laterNanos));
        assertEquals(Map.of("busy", 3_000L), tracker.durationsMs("other", laterNanos));
    }

    private static ServiceState state(FleetDemand... demands) {
        return PlanningTestData.state(ENGINE, List.of(RUNNER), demands);
    }

    private String firstLoadedModel(ServiceState state, long nowNanos) {
        return ModelPolicy.plan(state.withUnmet(tracker.durationsMs(SERVICE, nowNanos))).stream()
                .flatMap(directive -> directive.orders().stream())
                .filter(PlacementOrder.LoadModel.class::isInstance)
                .findFirst()
                .orElseThrow()
                .model();
    }
}
