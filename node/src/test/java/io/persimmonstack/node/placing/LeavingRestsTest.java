package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNotice;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Pattern: all runners of a software version drain at once; the rest of its streams has nowhere else to go. */
class LeavingRestsTest {
    private static final int SLOTS = 4;
    private static final long SERVING_MS = 600_000;
    private static final long QUIET_MS = 20_000;
    private static final long WAIT_MS = 60_000;
    private static final RunnerFilter V1 = new RunnerFilter(Set.of(), Optional.of("v1"));

    private final FleetView fleet = FleetView.create(OptionalLong.of(SERVING_MS));
    private final Placer placer = Placer.create(fleet, "z");

    private static Runner runner(String id, String version) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, 1, version, "s", address, "z", SLOTS, false, List.of(), Set.of(), Set.of());
    }

    private void list(Runner... runners) {
        fleet.update(now ->
                now.withRunners(Stream.of(runners).collect(Collectors.toMap(Runner::id, Function.identity())), 1));
    }

    /** Lists runners, the first of which begins to leave now, within the time for which it serves. */
    private void listFirstLeaving(Runner first, Runner... others) {
        listFirstLeavingSince(System.nanoTime(), first, others);
    }

    private void listFirstLeavingSince(long sinceNanos, Runner first, Runner... others) {
        list(Stream.concat(Stream.of(first), Stream.of(others)).toArray(Runner[]::new));
        fleet.recordRunnersCompleteUpTo(sinceNanos);
        list(Stream.concat(Stream.of(first.asLeaving()), Stream.of(others)).toArray(Runner[]::new));
    }

    private static long tooLongAgoNanos() {
        return System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(SERVING_MS / 2);
    }

    private static ActiveRequest request() {
        return Requests.received(RouteKind.STREAM, System.nanoTime(), 4_000);
    }

    private Optional<String> placeNow(RunnerFilter filter) {
        return placer.placeNow(request(), filter)
                .map(placement -> placement.runner().id());
    }

    private RefusedException refusalOf(RunnerFilter filter) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        return assertThrows(RefusedException.class, () -> placer.place(request(), filter, deadlineNanos));
    }

    /** Failure: the rest of a stream was refused, though runners of its version served for a while. */
    @Test
    void restOfAStreamGoesToALeavingRunnerOfItsVersion() {
        listFirstLeaving(runner("r1", "v1"), runner("r2", "v2"));
        for (int i = 0; i < SLOTS; i++) {
            assertEquals(Optional.of("r1"), placeNow(V1));
        }
        assertEquals(Optional.empty(), placeNow(V1), "all slots are taken");
    }

    @Test
    void newStreamDoesNotGoToALeavingRunner() {
        listFirstLeaving(runner("r1", "v1"));
        assertEquals(Optional.empty(), placeNow(RunnerFilter.any()));
        listFirstLeaving(runner("r1", "v1"), runner("r2", "v2"));
        for (int i = 0; i < SLOTS; i++) {
            assertEquals(Optional.of("r2"), placeNow(RunnerFilter.any()));
        }
        assertEquals(Optional.empty(), placeNow(RunnerFilter.any()));
    }

    @Test
    void runnerThatStaysIsPreferred() {
        listFirstLeaving(runner("r1", "v1"), runner("r2", "v1"));
        for (int i = 0; i < SLOTS; i++) {
            assertEquals(Optional.of("r2"), placeNow(V1));
        }
        assertEquals(Optional.of("r1"), placeNow(V1), "no slot is free at the one that stays");
    }

    @Test
    void restOfAStreamIsRefusedAtOnceAfterTheTime() {
        listFirstLeavingSince(tooLongAgoNanos(), runner("r1", "v1"), runner("r2", "v2"));
        assertEquals("version-gone", refusalOf(V1).refusal().reason());
    }

    @Test
    void restOfAStreamIsRefusedAtOnceIfTheTimeIsNotKnown() {
        list(runner("r1", "v1"), runner("r2", "v2"));
        list(runner("r1", "v1").asLeaving(), runner("r2", "v2"));
        assertEquals("version-gone", refusalOf(V1).refusal().reason());
    }

    /** The runner that broke a stream off cannot go on with it, so that waiting for it is in vain. */
    @Test
    void restOfAStreamIsRefusedAtOnceIfTheOnlyRunnerMayHaveRunIt() {
        listFirstLeaving(runner("r1", "v1"), runner("r2", "v2"));
        assertEquals(
                "version-gone",
                refusalOf(V1.without(runner("r1", "v1"))).refusal().reason());
    }

    /** Failure guarded against: a queued rest of a stream that is held to its deadline once the time is over. */
    @Test
    void queuedRestOfAStreamIsRefusedWhenTheTimeIsOver() {
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner("r1", "v1").asLeaving());
        tracker.updateServesRests(OptionalLong.of(100));
        assertTrue(tracker.canTakeRest(V1, 99));
        assertEquals(new Availability.RestsOnly(), tracker.availability(99));
        assertEquals(false, tracker.canTakeRest(V1, 100));
        assertEquals(new Availability.Leaving(), tracker.availability(100));
    }

    @Test
    void queuedRestOfAStreamIsPlacedAtALeavingRunnerOnceASlotIsFree() throws InterruptedException {
        listFirstLeaving(runner("r1", "v1"), runner("r2", "v2"));
        Placement first = placer.placeNow(request(), V1).orElseThrow();
        while (placeNow(V1).isPresent()) {
            continue;
        }
        AtomicReference<String> placed = new AtomicReference<>();
        Thread waiting = Thread.ofVirtual().start(() -> {
            try {
                long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
                placed.set(placer.place(request(), V1, deadlineNanos).runner().id());
            } catch (RefusedException | InterruptedException e) {
                placed.set(e.toString());
            }
        });
        while (placer.queuedCount() == 0 && placed.get() == null) {
            Thread.sleep(1);
        }
        first.close();
        waiting.join();
        assertEquals("r1", placed.get());
    }

    @Test
    void quietOrFullLeavingRunnerTakesNothing() {
        listFirstLeaving(runner("r1", "v1"), runner("r2", "v2"));
        placer.recordUnreachable(runner("r1", "v1"));
        assertEquals(Optional.empty(), placeNow(V1));
        listFirstLeaving(runner("r3", "v1"), runner("r2", "v2"));
        assertEquals(Optional.of("r3"), placeNow(V1));
        fleet.recordNotice(runner("r3", "v1"), RunnerNotice.quiet(true, QUIET_MS));
        assertEquals(Optional.empty(), placeNow(V1));
    }

    /** What a runner says itself is checked once more just before a request is sent, by the same rule. */
    @Test
    void sendIsWithheldByTheSameRule() {
        Runner known = runner("r1", "v1");
        list(known);
        fleet.recordRunnersCompleteUpTo(System.nanoTime());
        fleet.recordNotice(known, RunnerNotice.of(true));
        long nowNanos = System.nanoTime();
        assertTrue(fleet.withholdReason(known, nowNanos).isPresent(), "placed before it was known");
        Runner placed = placer.placeNow(request(), V1).orElseThrow().runner();
        assertEquals(Optional.empty(), fleet.withholdReason(placed, nowNanos));
        long afterNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(SERVING_MS);
        assertTrue(fleet.withholdReason(placed, afterNanos).isPresent(), "after the time");
        fleet.recordNotice(known, RunnerNotice.quiet(true, QUIET_MS));
        assertTrue(fleet.withholdReason(placed, System.nanoTime()).isPresent(), "quiet");
    }
}
