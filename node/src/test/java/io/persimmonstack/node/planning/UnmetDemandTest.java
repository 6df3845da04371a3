package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.persimmonstack.node.config.Engine;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A rare model beside a busy one, neither of which is loaded, and room for one load at a time. */
class UnmetDemandTest {
    private static final Engine ENGINE = Fleets.engine("busy", "rare", "idle");
    private static final RunnerState RUNNER = Fleets.runner("r1", Fleets.held("idle"));
    private final UnmetDemand unmet = new UnmetDemand();

    @Test
    void rareModelOvertakesBusyOnesInTheEnd() {
        ServiceState first = state(Fleets.waiting("busy", 4), Fleets.waiting("rare", 1));
        unmet.observe(first, 0);
        assertEquals("busy", loaded(first, 0));
        long later = TimeUnit.SECONDS.toNanos(25);
        ServiceState second = state(Fleets.waiting("busy", 4), Fleets.waiting("rare", 1));
        for (long seconds = 5; seconds <= 25; seconds += 5) {
            unmet.observe(state(Fleets.waiting("rare", 1)), TimeUnit.SECONDS.toNanos(seconds));
        }
        unmet.observe(Fleets.state(ENGINE, List.of(Fleets.runner("r1", Fleets.held("busy")))), later);
        assertEquals("rare", loaded(second, later));
    }

    @Test
    void pauseBetweenTwoRequestsDoesNotStartAnew() {
        unmet.observe(state(Fleets.waiting("rare", 1)), 0);
        unmet.observe(state(), TimeUnit.SECONDS.toNanos(3));
        assertEquals(Map.of("rare", 3_000L), unmet.sinceMs(TimeUnit.SECONDS.toNanos(3)));
    }

    @Test
    void demandThatHasEndedIsForgotten() {
        unmet.observe(state(Fleets.waiting("rare", 1)), 0);
        unmet.observe(state(), TimeUnit.SECONDS.toNanos(11));
        assertFalse(unmet.sinceMs(TimeUnit.SECONDS.toNanos(11)).containsKey("rare"));
    }

    private static ServiceState state(DemandState... demands) {
        return Fleets.state(ENGINE, List.of(RUNNER), demands);
    }

    private String loaded(ServiceState state, long nowNanos) {
        return ModelPolicy.plan(state.withUnmet(unmet.sinceMs(nowNanos))).stream()
                .flatMap(directive -> directive.orders().stream())
                .filter(PlacementOrder.LoadModel.class::isInstance)
                .findFirst()
                .orElseThrow()
                .model();
    }
}
