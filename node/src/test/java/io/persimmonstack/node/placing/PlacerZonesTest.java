package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Requests leave the zone by decision only where the settings list several zones. */
class PlacerZonesTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final Map<String, String> TWO_ZONES = Map.of("a", "r", "b", "r");
    private final FleetView fleet = FleetView.create();
    private final List<ZoneCause> causes = new ArrayList<>();

    private final ZoneListener listener = new ZoneListener() {
        @Override
        public void placed(ZoneCause cause) {
            causes.add(cause);
        }

        @Override
        public void shareChanged(String service, double share, double home, double away) {}

        @Override
        public void linkChanged(String zone, boolean cut) {}
    };

    private static Runner runner(String id, String zone) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, 1, "v1", "s", address, zone, 1, false, List.of(), Set.of(), Set.of());
    }

    private void list(Runner... runners) {
        Map<String, Runner> byId = new HashMap<>();
        for (Runner runner : runners) {
            byId.put(runner.id(), runner);
        }
        fleet.update(now -> now.withRunners(byId, 1));
    }

    private static ActiveRequest arrivedBefore(long nanos) {
        return Requests.received(RouteKind.STREAM, System.nanoTime() - nanos, 60_000);
    }

    private static Optional<String> zone(Optional<Placement> placement) {
        return placement.map(place -> place.runner().zone());
    }

    @Test
    void requestThatHasWaitedLeavesAFullZone() {
        Placer placer = Placer.create(fleet, "a", TWO_ZONES, listener);
        list(runner("here", "a"), runner("there", "b"));
        assertEquals(Optional.of("a"), zone(placer.placeNow(arrivedBefore(0), RunnerFilter.any())));
        assertEquals(Optional.of("b"), zone(placer.placeNow(arrivedBefore(SECOND_NANOS), RunnerFilter.any())));
        assertEquals(List.of(ZoneCause.HOME, ZoneCause.LOAD), causes);
    }

    @Test
    void requestThatOnlyAnotherZoneCanServeLeavesAtOnce() {
        Placer placer = Placer.create(fleet, "a", TWO_ZONES, listener);
        list(runner("here", "a"), runner("there", "b"));
        RunnerFilter notHere = RunnerFilter.any().without(runner("here", "a"));
        assertEquals(Optional.of("b"), zone(placer.placeNow(arrivedBefore(0), notHere)));
        assertEquals(List.of(ZoneCause.ONLY), causes);
    }

    /** The rest of a stream must not wait for a place in its zone. */
    @Test
    void restOfAStreamGoesToAnyZone() {
        Placer placer = Placer.create(fleet, "a", TWO_ZONES, listener);
        list(runner("here", "a"), runner("there", "b"));
        RunnerFilter rest = new RunnerFilter(Set.of(), Optional.of("v1"));
        assertTrue(placer.placeNow(arrivedBefore(0), rest).isPresent());
        assertEquals(Optional.of("b"), zone(placer.placeNow(arrivedBefore(0), rest)));
    }

    @Test
    void allZonesAreUsedWhereTheSettingsListOnlyOne() {
        Placer placer = Placer.create(fleet, "a", Map.of("a", "r"), listener);
        list(runner("here", "a"), runner("there", "b"));
        assertEquals(Optional.of("a"), zone(placer.placeNow(arrivedBefore(0), RunnerFilter.any())));
        assertEquals(Optional.of("b"), zone(placer.placeNow(arrivedBefore(0), RunnerFilter.any())));
        assertEquals(List.of(), causes);
    }
}
