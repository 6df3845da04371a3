package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Pattern: new streams fill all places while a service has runners of two software versions. Those of the version on
 * its way out keep some for streams that go on, as long as another version serves and no longer.
 */
class OutgoingVersionsTest {
    private static final int SLOTS = 4;
    private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final RunnerFilter OLD_ONLY = new RunnerFilter(Set.of(), Optional.of("old"));
    private final FleetView fleet = FleetView.create();
    private final Placer placer = Placer.create(fleet, "z");

    private static Runner runner(String id, long startedMs, String softwareVersion) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(
                id, startedMs, softwareVersion, "s", address, "z", SLOTS, false, List.of(), Set.of(), Set.of());
    }

    private static Map<String, Runner> byId(Runner... runners) {
        return Stream.of(runners).collect(Collectors.toMap(Runner::id, Function.identity()));
    }

    private void list(Runner... runners) {
        fleet.update(now -> now.withRunners(byId(runners), 1));
    }

    private Optional<Placement> place(RunnerFilter runnerFilter) {
        return placer.placeNow(Requests.received(RouteKind.STREAM, 0, 1_000), runnerFilter);
    }

    /** Returns the number of places that new requests get, and fills them. */
    private int fill(RunnerFilter runnerFilter) {
        int placed = 0;
        while (place(runnerFilter).isPresent()) {
            placed++;
        }
        return placed;
    }

    @Test
    void runnerOfOutgoingVersionKeepsASlotForStreamsThatGoOn() {
        list(runner("a", 1, "old").asLeaving(), runner("b", 1, "old"), runner("c", 1, "new"));
        assertEquals(SLOTS - 1 + SLOTS, fill(RunnerFilter.any()));
        assertEquals("b", place(OLD_ONLY).orElseThrow().runner().id());
        assertTrue(place(OLD_ONLY).isEmpty());
    }

    @Test
    void runnerThatWasReplacedInPlaceHasLeft() {
        list(runner("a", 1, "old"), runner("b", 1, "old"));
        list(runner("a", 2, "new"), runner("b", 1, "old"));
        assertEquals(SLOTS - 1 + SLOTS, fill(RunnerFilter.any()));
        assertEquals(1, fill(OLD_ONLY));
    }

    @Test
    void singleVersionKeepsNoPlaces() {
        list(runner("a", 1, "old").asLeaving(), runner("b", 1, "old"));
        assertEquals(SLOTS, fill(RunnerFilter.any()));
    }

    @Test
    void versionsThatServeSideBySideKeepNoPlaces() {
        list(runner("a", 1, "old"), runner("b", 1, "old"), runner("c", 1, "new"));
        list(runner("a", 1, "old"), runner("b", 2, "old"), runner("c", 1, "new"));
        assertEquals(3 * SLOTS, fill(RunnerFilter.any()));
    }

    @Test
    void lastRunnersOfAServiceTakeAllRequestsWhenTheOtherVersionIsGone() {
        list(runner("a", 1, "old").asLeaving(), runner("b", 1, "old"), runner("c", 1, "new"));
        list(runner("b", 1, "old"), runner("c", 1, "new").asLeaving());
        assertEquals(SLOTS, fill(RunnerFilter.any()));
    }

    @Test
    void runnersThatHaveLeftAreForgotten() {
        OutgoingVersions versions = new OutgoingVersions();
        Runner old = runner("b", 1, "old");
        Runner ofNew = runner("c", 1, "new");
        versions.update(byId(runner("a", 1, "old"), old, ofNew), 0);
        assertTrue(versions.outgoingUntilNanos(old).isEmpty());
        versions.update(byId(old, ofNew), 1);
        assertEquals(OptionalLong.of(1 + MEMORY_NANOS), versions.outgoingUntilNanos(old));
        assertTrue(versions.outgoingUntilNanos(ofNew).isEmpty());
        RunnerLoadTracker tracker = new RunnerLoadTracker(old);
        tracker.updateOutgoing(versions.outgoingUntilNanos(old));
        assertTrue(tracker.isOutgoing(MEMORY_NANOS));
        assertFalse(tracker.isOutgoing(MEMORY_NANOS + 1));
    }

    @Test
    void equalVersionsOfTwoServicesAreDifferent() {
        OutgoingVersions versions = new OutgoingVersions();
        Runner other = new Runner(
                "x", 1, "old", "t", new PeerAddress("127.0.0.1", 1), "z", SLOTS, false, List.of(), Set.of(), Set.of());
        versions.update(byId(runner("a", 1, "old").asLeaving(), runner("c", 1, "new"), other), 0);
        assertTrue(versions.outgoingUntilNanos(other).isEmpty());
    }

    @Test
    void newRequestsLeaveTokenMemoryToStreamsThatGoOn() {
        Service service = new Service("s", "/health", 10, Optional.of(new Engine(40, 1_000, 100, 0, 3, Map.of())));
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner("b", 1, "old"));
        tracker.requestStarted(new ModelRef("", ""), 700);
        RunnerSelector selector = RunnerSelector.of(service, "z", 1, new Random(1), 0);
        assertTrue(selector.choose(List.of(tracker), tokens(220, RunnerFilter.any()))
                .isPresent());
        tracker.updateOutgoing(OptionalLong.of(1));
        assertTrue(selector.choose(List.of(tracker), tokens(120, RunnerFilter.any()))
                .isPresent());
        assertTrue(selector.choose(List.of(tracker), tokens(220, RunnerFilter.any()))
                .isEmpty());
        assertTrue(selector.choose(List.of(tracker), tokens(220, OLD_ONLY)).isPresent());
    }

    /** A share that is kept for others must not lock out a large request; one beyond the cache ends the runner. */
    @Test
    void idleRunnerTakesANewRequestUpToItsWholeCacheAndNoLargerOne() {
        Service service = new Service("s", "/health", 10, Optional.of(new Engine(40, 1_000, 100, 0, 3, Map.of())));
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner("b", 1, "old"));
        tracker.updateOutgoing(OptionalLong.of(1));
        RunnerSelector selector = RunnerSelector.of(service, "z", 1, new Random(1), 0);
        assertTrue(selector.choose(List.of(tracker), tokens(1_000, RunnerFilter.any()))
                .isPresent());
        assertTrue(selector.choose(List.of(tracker), tokens(1_001, RunnerFilter.any()))
                .isEmpty());
        assertTrue(selector.choose(List.of(tracker), tokens(1_001, OLD_ONLY)).isEmpty());
    }

    private static RunnerSelector.Requirements tokens(long expectedTokens, RunnerFilter runnerFilter) {
        return new RunnerSelector.Requirements(Optional.empty(), expectedTokens, runnerFilter, Optional.empty());
    }
}
