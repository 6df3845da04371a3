package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against placing the rest of a stream at a process of another software version, or holding it in vain. */
class StreamPlacementTest {
    private static final long WAIT_MS = 60_000;
    private final FleetView fleet = FleetView.create();
    private final Placer placer = Placer.create(fleet, "z");

    private static Runner runner(String id, long startedMs, String version) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, startedMs, version, "s", address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    private void list(Runner... runners) {
        fleet.update(now ->
                now.withRunners(Stream.of(runners).collect(Collectors.toMap(Runner::id, Function.identity())), 1));
    }

    private static ActiveRequest request() {
        return Requests.received(RouteKind.STREAM, System.nanoTime(), 4_000);
    }

    private static RunnerFilter version(String version) {
        return new RunnerFilter(Set.of(), Optional.of(version));
    }

    private RefusedException refusalOf(RunnerFilter filter) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        return assertThrows(RefusedException.class, () -> placer.place(request(), filter, deadlineNanos));
    }

    @Test
    void restOfAStreamIsPlacedOnlyAtItsVersion() {
        list(runner("r1", 1, "v1"), runner("r2", 1, "v2"));
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    "r2",
                    placer.placeNow(request(), version("v2"))
                            .orElseThrow()
                            .runner()
                            .id());
        }
        assertTrue(placer.placeNow(request(), version("v2")).isEmpty(), "all slots of the version are taken");
    }

    /** Failure: the rest of a stream was held to its deadline although no runner of its version stays. */
    @Test
    void restOfAStreamIsRefusedAtOnceIfItsVersionIsGone() {
        list(runner("r1", 1, "v1").asLeaving(), runner("r2", 1, "v2"));
        assertEquals("version-gone", refusalOf(version("v1")).refusal().reason());
        assertEquals(503, refusalOf(version("v0")).refusal().status());
    }

    /** Failure: a node that had not heard of a runner's restart counted on what it knew of the process before. */
    @Test
    void runnerOfWhichTheLeaderKnowsALaterProcessTakesNothing() {
        list(runner("r1", 1, "v1"));
        RunnerSnapshot ofLaterProcess = new RunnerSnapshot("r1", 2, Optional.empty(), 0, 0);
        placer.applySnapshots(List.of(ofLaterProcess));
        assertTrue(placer.placeNow(request(), version("v1")).isEmpty());
        assertTrue(placer.placeNow(request(), RunnerFilter.any()).isEmpty());
        list(runner("r1", 2, "v2"));
        assertTrue(placer.placeNow(request(), version("v2")).isPresent());
    }

    /** A leader that has not heard of a restart yet does not take a runner away. */
    @Test
    void snapshotOfAnEarlierProcessHasNoEffect() {
        list(runner("r1", 2, "v1"));
        placer.applySnapshots(List.of(new RunnerSnapshot("r1", 1, Optional.empty(), 4, 0)));
        assertTrue(placer.placeNow(request(), version("v1")).isPresent());
    }
}
