package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A runner that neither a node nor the leader can reach counts as leaving, so that its models are loaded elsewhere; a
 * runner that only one of them fails to reach does not.
 */
class RunnerStateTrackerTest {
    private static final Runner RUNNER = new Runner(
            "r1",
            1,
            "v1",
            "s",
            new PeerAddress("127.0.0.1", 1),
            "z",
            4,
            false,
            List.of(new HeldModel("a", 1, Set.of())),
            Set.of(),
            Set.of("a"));
    private final RunnerStateTracker tracker = new RunnerStateTracker(RUNNER);

    @Test
    void suspectedRunnerWithoutStatusCountsAsLeaving() {
        tracker.suspect(System.nanoTime());
        tracker.statusFailed(System.nanoTime());
        assertTrue(leaving());
    }

    @Test
    void runnerUnreachableOnlyByLeaderIsNotLeaving() {
        tracker.statusFailed(System.nanoTime());
        assertFalse(leaving());
    }

    @Test
    void suspectedRunnerThatAnswersIsNotLeaving() {
        tracker.suspect(System.nanoTime());
        tracker.statusFailed(System.nanoTime());
        tracker.applyStatus(runnerStatus(), System.nanoTime());
        assertFalse(leaving());
        tracker.statusFailed(System.nanoTime());
        assertFalse(leaving());
    }

    @Test
    void suspectedRunnerNeedsStatusAtOnce() {
        long laterNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
        tracker.markStatusRequested(laterNanos);
        tracker.applyStatus(runnerStatus(), laterNanos);
        laterNanos += TimeUnit.MILLISECONDS.toNanos(500);
        assertFalse(tracker.needsStatus(laterNanos));
        tracker.suspect(laterNanos);
        assertTrue(tracker.needsStatus(laterNanos));
    }

    @Test
    void adapterOfLateOrderOccupiesSlotWhileLoading() {
        ModelRef late = new ModelRef("a", "late");
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(
                new RunnerStatus(
                        false, 1, List.of(new HeldModel("a", 1, Set.of("x"))), Set.of(late), Set.of(), Set.of("a")),
                System.nanoTime());
        assertEquals(
                2, tracker.state(Map.of(), PlanningTestData.engine("a"), true).adapterCount());
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(
                new RunnerStatus(
                        false, 1, List.of(new HeldModel("a", 1, Set.of("x", "late"))), Set.of(), Set.of(), Set.of("a")),
                System.nanoTime());
        assertEquals(
                2, tracker.state(Map.of(), PlanningTestData.engine("a"), true).adapterCount());
    }

    /** Runner overfilled: a late load took the room of another one, since an unload before it was not counted. */
    @Test
    void unansweredLoadAheadOfTheRunnersNumberReservesItsSlot() {
        tracker.orderUnanswered(new PlacementOrder.LoadAdapter("a", "late"), 1);
        applyStatus(0);
        assertEquals(
                1, tracker.state(Map.of(), PlanningTestData.engine("a"), true).adapterCount());
        tracker.orderAccepted(System.nanoTime());
        assertEquals(
                1, tracker.state(Map.of(), PlanningTestData.engine("a"), true).adapterCount());
        tracker.orderAccepted(System.nanoTime());
        assertEquals(
                0, tracker.state(Map.of(), PlanningTestData.engine("a"), true).adapterCount());
    }

    @Test
    void unansweredLoadAtTheRunnersNumberReservesNothing() {
        tracker.orderUnanswered(new PlacementOrder.LoadAdapter("a", "late"), 1);
        applyStatus(1);
        assertEquals(
                0, tracker.state(Map.of(), PlanningTestData.engine("a"), true).adapterCount());
    }

    private void applyStatus(long sequence) {
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(
                new RunnerStatus(
                        false, sequence, List.of(new HeldModel("a", 1, Set.of())), Set.of(), Set.of(), Set.of("a")),
                System.nanoTime());
    }

    @Test
    void loadInProgressIsTakenFromDirective() {
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(runnerStatus(), System.nanoTime());
        long now = System.nanoTime();
        assertTrue(tracker.beginDirective(
                new Directive("r1", 0, List.of(new PlacementOrder.LoadModel("b")), "waiting"),
                PlanningTestData.engine("a", "b"),
                now));
        assertEquals(
                new RunnerStateTracker.LoadInProgress("b", RUNNER.softwareVersion(), 6_000),
                tracker.loadInProgress(now).orElseThrow());
        assertEquals(
                new RunnerStateTracker.LoadInProgress("b", RUNNER.softwareVersion(), 0),
                tracker.loadInProgress(now + TimeUnit.SECONDS.toNanos(7)).orElseThrow());
    }

    private boolean leaving() {
        return tracker.state(Map.of(), PlanningTestData.engine("a"), true).leaving();
    }

    private static RunnerStatus runnerStatus() {
        return new RunnerStatus(false, 0, List.of(new HeldModel("a", 1, Set.of())), Set.of(), Set.of(), Set.of("a"));
    }
}
