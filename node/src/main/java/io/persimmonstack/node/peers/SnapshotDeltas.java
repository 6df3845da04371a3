package io.persimmonstack.node.peers;

import io.persimmonstack.node.placing.RunnerSnapshot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Computes which runner snapshots to send to each node: only those that have changed since the answer that the node has
 * last acknowledged. In a fleet of many nodes and runners, sending the whole state each time would saturate the
 * leader's network link. Thread-safe.
 */
final class SnapshotDeltas {
    /** Number of remembered nodes at which all are dropped, to bound the memory; each then gets all runners again. */
    private static final int MAX_NODES = 1_000;

    private final Map<String, SentSnapshots> sentByNode = new HashMap<>();
    private long lastAnswerNumber;

    private record SentSnapshots(AnswerId answerId, Map<String, RunnerSnapshot> snapshots) {}

    /**
     * Identifies an answer.
     *
     * @param term term of the leader that sent it, 0 for no answer
     * @param number sequence number, which increases within a term
     */
    record AnswerId(long term, long number) {
        static final AnswerId NONE = new AnswerId(0, 0);
    }

    /**
     * Content of one answer to a node.
     *
     * @param answerId identifier of the answer
     * @param snapshots runners that have changed since the acknowledged answer; all if that answer is not the last sent
     */
    record Delta(AnswerId answerId, List<RunnerSnapshot> snapshots) {}

    /**
     * Returns the changes to send to a node, and remembers them as the last answer sent to it.
     *
     * @param node name of the node
     * @param term term of this leader
     * @param acknowledged last answer that the node has applied
     * @param current current snapshots of all runners
     */
    synchronized Delta deltaFor(String node, long term, AnswerId acknowledged, List<RunnerSnapshot> current) {
        Map<String, RunnerSnapshot> previous = Optional.ofNullable(sentByNode.get(node))
                .filter(sent -> sent.answerId().equals(acknowledged))
                .map(SentSnapshots::snapshots)
                .orElse(Map.of());
        AnswerId answerId = new AnswerId(term, ++lastAnswerNumber);
        if (sentByNode.size() >= MAX_NODES) {
            sentByNode.clear();
        }
        sentByNode.put(
                node,
                new SentSnapshots(
                        answerId,
                        current.stream().collect(Collectors.toMap(RunnerSnapshot::runner, Function.identity()))));
        List<RunnerSnapshot> changed = current.stream()
                .filter(snapshot -> !snapshot.equals(previous.get(snapshot.runner())))
                .map(snapshot -> withoutUnchangedModels(snapshot, previous.get(snapshot.runner())))
                .toList();
        return new Delta(answerId, changed);
    }

    /** Removes the models from a snapshot if the previous one is of the same process and has the same models. */
    private static RunnerSnapshot withoutUnchangedModels(RunnerSnapshot snapshot, RunnerSnapshot previous) {
        boolean modelsKnown = previous != null
                && previous.startedMs() == snapshot.startedMs()
                && previous.models().equals(snapshot.models());
        return modelsKnown ? snapshot.withoutModels() : snapshot;
    }
}
