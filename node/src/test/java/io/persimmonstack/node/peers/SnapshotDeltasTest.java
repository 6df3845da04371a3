package io.persimmonstack.node.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.placing.RunnerSnapshot;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Answers to a node must hold the runners that have changed since the answer that the node has acknowledged. */
class SnapshotDeltasTest {
    private static final long TERM = 7;
    private final SnapshotDeltas deltas = new SnapshotDeltas();

    @Test
    void firstAnswerIsCompleteAndLaterOnesHoldOnlyChanges() {
        SnapshotDeltas.Delta first = deltas.deltaFor(
                "n", TERM, SnapshotDeltas.AnswerId.NONE, List.of(snapshot("a", 1, "m", 0), snapshot("b", 1, "m", 0)));
        assertEquals(2, first.snapshots().size());
        SnapshotDeltas.Delta second = deltas.deltaFor(
                "n", TERM, first.answerId(), List.of(snapshot("a", 1, "m", 3), snapshot("b", 1, "m", 0)));
        assertEquals(List.of(snapshot("a", 1, "m", 3).withoutModels()), second.snapshots());
        SnapshotDeltas.Delta third = deltas.deltaFor(
                "n", TERM, second.answerId(), List.of(snapshot("a", 1, "other", 3), snapshot("b", 1, "m", 0)));
        assertEquals(List.of(snapshot("a", 1, "other", 3)), third.snapshots());
        assertTrue(deltas.deltaFor(
                        "n", TERM, third.answerId(), List.of(snapshot("a", 1, "other", 3), snapshot("b", 1, "m", 0)))
                .snapshots()
                .isEmpty());
    }

    @Test
    void nodeThatMissedTheLastAnswerGetsAllRunners() {
        List<RunnerSnapshot> runners = List.of(snapshot("a", 1, "m", 0));
        SnapshotDeltas.AnswerId first = deltas.deltaFor("n", TERM, SnapshotDeltas.AnswerId.NONE, runners)
                .answerId();
        deltas.deltaFor("n", TERM, first, runners);
        assertEquals(runners, deltas.deltaFor("n", TERM, first, runners).snapshots());
        assertEquals(
                runners,
                deltas.deltaFor("n", TERM, SnapshotDeltas.AnswerId.NONE, runners)
                        .snapshots());
    }

    @Test
    void answerOfEarlierTermIsNotAcknowledged() {
        List<RunnerSnapshot> runners = List.of(snapshot("a", 1, "m", 0));
        SnapshotDeltas.AnswerId old = deltas.deltaFor("n", TERM, SnapshotDeltas.AnswerId.NONE, runners)
                .answerId();
        SnapshotDeltas.AnswerId sameNumber = new SnapshotDeltas.AnswerId(TERM - 1, old.number());
        assertEquals(runners, deltas.deltaFor("n", TERM, sameNumber, runners).snapshots());
    }

    @Test
    void modelsOfRestartedRunnerAreSent() {
        SnapshotDeltas.AnswerId first = deltas.deltaFor(
                        "n", TERM, SnapshotDeltas.AnswerId.NONE, List.of(snapshot("a", 1, "m", 0)))
                .answerId();
        List<RunnerSnapshot> restarted = List.of(snapshot("a", 2, "m", 0));
        assertEquals(restarted, deltas.deltaFor("n", TERM, first, restarted).snapshots());
    }

    @Test
    void deltasAreTrackedPerNode() {
        List<RunnerSnapshot> runners = List.of(snapshot("a", 1, "m", 0));
        SnapshotDeltas.AnswerId answerToOne = deltas.deltaFor("one", TERM, SnapshotDeltas.AnswerId.NONE, runners)
                .answerId();
        assertEquals(runners, deltas.deltaFor("two", TERM, answerToOne, runners).snapshots());
    }

    private static RunnerSnapshot snapshot(String runner, long startedMs, String model, int requestsElsewhere) {
        return new RunnerSnapshot(
                runner,
                startedMs,
                Optional.of(List.of(new HeldModel(model, 1, Set.of()))),
                requestsElsewhere,
                requestsElsewhere);
    }
}
