package io.persimmonstack.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.Target;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PlacerTest {
    private static final ModelVersion MODEL = ModelVersion.of("deed", "v1");

    private static Target target(String id, String zone, int maxConcurrent, String... adapters) {
        return new Target(
                id,
                new PeerAddress("127.0.0.1", 1),
                zone,
                "r1",
                maxConcurrent,
                false,
                Set.of(adapters),
                Optional.empty());
    }

    private static FleetView view(Target... targets) {
        return new FleetView(
                "c",
                1,
                FleetConfiguration.empty(),
                List.of(),
                List.of(),
                Map.of(MODEL.toString(), List.of(targets)),
                Map.of(),
                Map.of());
    }

    private static Work work(long prefix, Optional<String> adapter) {
        return new Work.Completion(MODEL, adapter, false, prefix, List.of(), new byte[0]);
    }

    private static Reservation reserve(Placer placer, long prefix, FleetView view) {
        return placer.reserve(work(prefix, Optional.empty()), view, TargetFilter.any())
                .orElseThrow();
    }

    @Test
    void targetsOfTheOwnZoneAreUsedFirstUntilTheyAreFull() {
        Placer placer = Placer.of("z1", "r1");
        FleetView view = view(target("near", "z1", 2), target("far", "z2", 2));
        List<String> order = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            order.add(reserve(placer, i, view).target().id());
        }
        assertEquals(List.of("near", "near", "far", "far"), order);
        assertTrue(placer.reserve(work(9, Optional.empty()), view, TargetFilter.any())
                .isEmpty());
    }

    @Test
    void equalPrefixesShareATargetUntilItReachesTheLoadBound() {
        Placer placer = Placer.of("z1", "r1");
        FleetView view = view(target("a", "z1", 100), target("b", "z1", 100), target("c", "z1", 100));
        Reservation first = reserve(placer, 42, view);
        String firstTarget = first.target().id();
        first.close();
        for (int i = 0; i < 10; i++) {
            Reservation again = reserve(placer, 42, view);
            assertEquals(firstTarget, again.target().id());
            again.close();
        }
        Map<String, Integer> requestsByTarget = new java.util.TreeMap<>();
        for (int i = 0; i < 90; i++) {
            requestsByTarget.merge(reserve(placer, 42, view).target().id(), 1, Integer::sum);
        }
        assertTrue(requestsByTarget.values().stream().allMatch(count -> count <= 39), requestsByTarget.toString());
    }

    @Test
    void retryAvoidsFailedTargetsAndPrefersAnotherZone() {
        Placer placer = Placer.of("z1", "r1");
        Target bad = target("bad", "z1", 9);
        FleetView view = view(bad, target("neighbour", "z1", 9), target("away", "z2", 9));
        Reservation other = placer.reserve(
                        work(1, Optional.empty()), view, TargetFilter.any().excluding(bad))
                .orElseThrow();
        assertEquals("away", other.target().id());
        FleetView sameZoneOnly = view(bad, target("neighbour", "z1", 9));
        assertNotEquals(
                "bad",
                placer.reserve(
                                work(1, Optional.empty()),
                                sameZoneOnly,
                                TargetFilter.any().excluding(bad))
                        .orElseThrow()
                        .target()
                        .id());
    }

    @Test
    void adapterRequestsGoOnlyToTargetsWithTheAdapterLoaded() {
        Placer placer = Placer.of("z1", "r1");
        FleetView view = view(target("bare", "z1", 9), target("dressed", "z2", 9, "clause"));
        Work work = work(1, Optional.of("clause"));
        assertEquals(
                "dressed",
                placer.reserve(work, view, TargetFilter.any())
                        .orElseThrow()
                        .target()
                        .id());
        assertTrue(placer.eligibleTargets(work(1, Optional.of("other")), view).isEmpty());
    }

    @Test
    void limitDropsWhenTheTargetIsFullAndRecoversAfterSuccesses() {
        TargetState state = new TargetState(target("a", "z1", 4));
        assertTrue(state.tryAcquire(1));
        assertTrue(state.tryAcquire(1));
        assertTrue(state.tryAcquire(1));
        state.markFull(1);
        assertEquals(2, state.limit());
        state.release();
        state.release();
        long later = 1_000_000_000L;
        assertTrue(state.tryAcquire(later));
        assertFalse(state.tryAcquire(later));
        for (int i = 0; i < 100; i++) {
            state.recordSuccess(4);
        }
        assertEquals(4, state.limit());
    }

    @Test
    void circuitOpensAfterFailuresAllowsOneProbeAndClosesOnSuccess() {
        CircuitBreaker circuit = new CircuitBreaker();
        long now = 1;
        for (int i = 0; i < 3; i++) {
            assertEquals(0, circuit.recordFailure(now));
        }
        assertEquals(500, circuit.recordFailure(now));
        assertFalse(circuit.allowsRequest(now));
        long afterPause = now + 800_000_000L;
        assertTrue(circuit.tryAcquire(afterPause));
        assertFalse(circuit.tryAcquire(afterPause));
        assertEquals(1_000, circuit.recordFailure(afterPause));
        circuit.recordSuccess();
        assertTrue(circuit.tryAcquire(afterPause));
        assertTrue(circuit.tryAcquire(afterPause));
    }

    @Test
    void retriesAreLimitedToATenthOfTheRequestsPlusABurst() {
        RetryBudget budget = RetryBudget.full();
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.earn();
            retries += budget.spend() ? 1 : 0;
        }
        assertTrue(retries >= 100 && retries <= 121, "retries " + retries);
    }
}
