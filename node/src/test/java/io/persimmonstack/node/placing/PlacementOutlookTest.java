package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNotice;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against explanations that differ from where requests go, and against ones that change that. */
class PlacementOutlookTest {
    private static final Map<String, String> TWO_ZONES = Map.of("a", "r", "b", "r");
    private final FleetView fleet = FleetView.create();
    private final List<String> told = new ArrayList<>();
    private final Placer placer = Placer.create(fleet, "a", TWO_ZONES, new ZoneListener() {
        @Override
        public void placed(ZoneCause cause) {
            told.add("placed " + cause);
        }

        @Override
        public void shareChanged(String service, double share, double home, double away) {
            told.add("share");
        }

        @Override
        public void linkChanged(String zone, boolean cut) {
            told.add("link " + zone);
        }
    });

    private static Runner runner(String id, String zone, int slots, String... models) {
        List<HeldModel> held = new ArrayList<>();
        for (String model : models) {
            held.add(new HeldModel(model, 1, Set.of()));
        }
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, 1, "v1", "s", address, zone, slots, false, held, Set.of(), Set.of());
    }

    private void list(Runner... runners) {
        Map<String, Runner> byId = new HashMap<>();
        for (Runner runner : runners) {
            byId.put(runner.id(), runner);
        }
        fleet.update(now -> now.withRunners(byId, 1));
    }

    private static ActiveRequest request(String model) {
        return Requests.forModel(model, System.nanoTime());
    }

    private Map<String, Optional<RunnerExclusion>> exclusions(PlacementOutlook outlook) {
        Map<String, Optional<RunnerExclusion>> byRunner = new HashMap<>();
        outlook.runners().forEach(verdict -> byRunner.put(verdict.runner().id(), verdict.exclusion()));
        return byRunner;
    }

    @Test
    void eachRunnerHasItsReason() {
        Runner paused = runner("paused", "a", 2, "m");
        Runner full = runner("full", "a", 1, "m");
        Runner avoided = runner("avoided", "a", 1, "m");
        list(full);
        assertTrue(placer.placeNow(request("m"), RunnerFilter.any()).isPresent());
        told.clear();
        list(
                full,
                paused,
                avoided,
                runner("leaving", "a", 2, "m").asLeaving(),
                runner("other", "a", 2, "n"),
                runner("usable", "a", 2, "m"),
                runner("away", "b", 2, "m"));
        fleet.recordNotice(paused, new RunnerNotice(false, OptionalLong.of(20_000), Optional.empty()));
        placer.recordFull(avoided);
        PlacementOutlook outlook = placer.outlook(request("m"));
        assertEquals(
                Map.of(
                        "full", Optional.of(RunnerExclusion.SLOTS),
                        "paused", Optional.of(RunnerExclusion.PAUSED),
                        "avoided", Optional.of(RunnerExclusion.AVOIDED),
                        "leaving", Optional.of(RunnerExclusion.LEAVING),
                        "other", Optional.of(RunnerExclusion.MODEL),
                        "usable", Optional.empty(),
                        "away", Optional.of(RunnerExclusion.ZONE)),
                exclusions(outlook));
        assertEquals("usable", outlook.choice().orElseThrow().runner().id());
        assertEquals(Optional.of(ZoneCause.HOME), outlook.zoneCause());
        assertEquals(List.of(), told);
    }

    @Test
    void explanationAgreesWithThePlacementThatFollowsAndTakesNothing() {
        list(runner("e1", "a", 1, "m"), runner("e2", "b", 1, "m"));
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "e1",
                    placer.outlook(request("m")).choice().orElseThrow().runner().id());
        }
        Placement placement = placer.placeNow(request("m"), RunnerFilter.any()).orElseThrow();
        assertEquals("e1", placement.runner().id());
        PlacementOutlook waiting = placer.outlook(request("m"));
        assertEquals(Optional.empty(), waiting.choice());
        assertEquals(Optional.empty(), waiting.refusal());
        assertEquals(0, placer.queuedCount());
    }

    @Test
    void requestThatOnlyOtherZonesCanServeLeaves() {
        list(runner("e1", "a", 1, "n"), runner("e2", "b", 1, "m"));
        PlacementOutlook outlook = placer.outlook(request("m"));
        assertEquals("e2", outlook.choice().orElseThrow().runner().id());
        assertEquals(Optional.of(ZoneCause.ONLY), outlook.zoneCause());
        assertTrue(outlook.choice().get().zonePrice() > 0);
    }

    @Test
    void modelThatComesTooLateIsRefusedWithTheTimeOfItsLoad() {
        list(runner("e1", "a", 1, "n"));
        placer.applyModelArrivals(List.of(new ModelArrival("s", "m", 5_000)));
        PlacementOutlook outlook = placer.outlook(request("m"));
        assertEquals("model-not-loaded", outlook.refusal().orElseThrow().reason());
        assertTrue(outlook.refusal().get().retryAfterMs().orElseThrow() > 4_000);
        assertTrue(outlook.expectedLoadMs().orElseThrow() > 4_000);
        assertEquals(List.of(), placer.drainLoad().demands());
    }

    @Test
    void allRunnersThatPauseRefuse() {
        Runner only = runner("e1", "a", 1, "m");
        list(only);
        fleet.recordNotice(only, new RunnerNotice(false, OptionalLong.of(20_000), Optional.empty()));
        assertEquals(
                "runners-quiet",
                placer.outlook(request("m")).refusal().orElseThrow().reason());
    }
}
