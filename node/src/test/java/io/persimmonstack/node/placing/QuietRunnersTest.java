package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Pattern: runners that leave by their own word or ask for quiet while many requests wait. They get nothing more,
 * what can be served elsewhere is served there, and the rest is refused at once or returns gradually.
 */
class QuietRunnersTest {
    private static final int SLOTS = 8;
    private static final int WAITING = 1_000;
    private static final long PAUSE_MS = 1_500;
    private static final long LONG_PAUSE_MS = 20_000;

    private final FleetView fleet = FleetView.create();
    private final Placer placer = Placer.create(fleet, "z");
    private final Queue<Placement> placements = new ConcurrentLinkedQueue<>();
    private final Queue<RefusedException> refusals = new ConcurrentLinkedQueue<>();
    private final Queue<Thread> threads = new ConcurrentLinkedQueue<>();

    private static Runner runner(String id, long startedMs) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, startedMs, "v1", "s", address, "z", SLOTS, false, List.of(), Set.of(), Set.of());
    }

    private void list(Runner... runners) {
        fleet.update(now ->
                now.withRunners(Stream.of(runners).collect(Collectors.toMap(Runner::id, runner -> runner)), 1));
    }

    private static ActiveRequest request(RouteKind kind) {
        return Requests.received(kind, System.nanoTime(), 4_000);
    }

    private Optional<Placement> placeNow(RouteKind kind) {
        return placer.placeNow(request(kind), RunnerFilter.any());
    }

    /** Starts a request that waits for a runner for the given time. */
    private void startWaiting(long waitMs) {
        threads.add(Thread.ofVirtual().start(() -> {
            try {
                long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
                placements.add(placer.place(request(RouteKind.STREAM), RunnerFilter.any(), deadlineNanos));
            } catch (RefusedException e) {
                refusals.add(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    private void startWaiting(int count, long waitMs) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            startWaiting(waitMs);
        }
        while (placer.queuedCount() < count) {
            Thread.sleep(1);
        }
    }

    private void occupyAllSlots() {
        for (int i = 0; i < SLOTS; i++) {
            placements.add(placeNow(RouteKind.STREAM).orElseThrow());
        }
    }

    private void releaseAll() {
        for (Placement placement = placements.poll(); placement != null; placement = placements.poll()) {
            placement.close();
        }
    }

    @AfterEach
    void endWaiting() throws InterruptedException {
        threads.forEach(Thread::interrupt);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    @Test
    void runnerThatLeavesByItsOwnWordGetsNoKindOfRequest() {
        list(runner("r1", 1));
        fleet.recordNotice(runner("r1", 1), RunnerNotice.of(true));
        for (RouteKind kind : RouteKind.values()) {
            assertTrue(placeNow(kind).isEmpty(), kind.toString());
        }
        list(runner("r1", 2));
        assertTrue(placeNow(RouteKind.SAFE).isPresent(), "another process of the runner");
    }

    @Test
    void runnerThatAskedForQuietGetsNoKindOfRequest() {
        list(runner("r1", 1));
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(false, LONG_PAUSE_MS));
        for (RouteKind kind : RouteKind.values()) {
            assertTrue(placeNow(kind).isEmpty(), kind.toString());
        }
        assertTrue(fleet.withholdReason(runner("r1", 1), System.nanoTime()).isPresent());
    }

    /** A request in progress occupies its slot, and goes on, while its runner is quiet or leaves. */
    @Test
    void requestInProgressKeepsItsSlot() {
        list(runner("r1", 1));
        Placement placement = placeNow(RouteKind.STREAM).orElseThrow();
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(true, LONG_PAUSE_MS));
        assertEquals(1, placer.drainLoad().usages().getFirst().requests());
        placement.close();
        assertTrue(placer.drainLoad().usages().isEmpty());
    }

    @Test
    void requestsGoToTheRunnerThatDidNotAskForQuiet() {
        list(runner("r1", 1), runner("r2", 1));
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(false, LONG_PAUSE_MS));
        for (int i = 0; i < SLOTS; i++) {
            assertEquals("r2", placeNow(RouteKind.STREAM).orElseThrow().runner().id());
        }
    }

    /** They used to wait to their deadline, or to be sent to the runner again and again. */
    @Test
    void allWaitingRequestsAreRefusedAtOnceIfTheOnlyRunnerIsQuietTooLong() throws InterruptedException {
        list(runner("r1", 1));
        occupyAllSlots();
        startWaiting(WAITING, PAUSE_MS * 10);
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(false, LONG_PAUSE_MS));
        assertEquals(0, placer.queuedCount());
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(WAITING, refusals.size());
        for (RefusedException refused : refusals) {
            assertEquals("runners-quiet", refused.refusal().reason());
            assertTrue(refused.refusal().retryAfterMs().orElseThrow() > LONG_PAUSE_MS - PAUSE_MS);
        }
    }

    @Test
    void newRequestIsRefusedAtOnceIfTheOnlyRunnerIsQuietTooLong() throws InterruptedException {
        list(runner("r1", 1), runner("r2", 1).asLeaving());
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(false, LONG_PAUSE_MS));
        startWaiting(PAUSE_MS);
        threads.peek().join();
        assertEquals("runners-quiet", refusals.element().refusal().reason());
    }

    /** After the pause, the slots fill over half a second instead of all at once. */
    @Test
    void waitingRequestsReturnGraduallyAfterThePause() throws InterruptedException {
        list(runner("r1", 1));
        occupyAllSlots();
        startWaiting(WAITING, PAUSE_MS * 10);
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(false, PAUSE_MS));
        releaseAll();
        assertEquals(WAITING, placer.queuedCount());
        assertTrue(refusals.isEmpty());
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner("r1", 1));
        tracker.pauseUntil(0);
        assertEquals(1, tracker.slotLimit(0));
        assertEquals(1 + SLOTS / 2, tracker.slotLimit(TimeUnit.MILLISECONDS.toNanos(250)));
        assertEquals(SLOTS, tracker.slotLimit(TimeUnit.MILLISECONDS.toNanos(500)));
        while (placer.queuedCount() > WAITING - SLOTS) {
            placer.retryQueued();
            Thread.sleep(5);
        }
        assertFalse(fleet.withholdReason(runner("r1", 1), System.nanoTime()).isPresent());
    }

    @Test
    void leavingOutweighsQuietAndQuietOutweighsBackoff() {
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner("r1", 1));
        assertEquals(new Availability.Open(), tracker.availability(0));
        tracker.markFull(0);
        assertEquals(new Availability.BackingOff(), tracker.availability(1));
        tracker.pauseUntil(1_000);
        assertEquals(new Availability.Quiet(1_000), tracker.availability(1));
        tracker.updateRunner(runner("r1", 1).asLeaving());
        assertEquals(new Availability.Leaving(), tracker.availability(1));
        tracker.updateRunner(runner("r1", 2));
        assertEquals(new Availability.Open(), tracker.availability(1));
    }

    @Test
    void restartedRunnerIsNotQuiet() {
        list(runner("r1", 1));
        fleet.recordNotice(runner("r1", 1), RunnerNotice.quiet(false, LONG_PAUSE_MS));
        list(runner("r1", 2));
        assertTrue(placeNow(RouteKind.SAFE).isPresent());
        assertEquals(Map.of("r1", runner("r1", 2)), fleet.current().runners());
    }
}
