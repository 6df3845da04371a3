package io.persimmonstack.node.peers;

import io.persimmonstack.node.placing.RunnerSnapshot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What the leader has told each node of the runners, so that an answer holds only what has changed since the one that
 * the node has taken. Answers a fleet of many nodes and runners, whose whole state would fill the leader's link.
 */
final class SnapshotDeltas {
    private static final int MAX_NODES = 1_000;
    private final Map<String, SentSnapshots> sentByNode = new HashMap<>();
    private long lastNumber;

    private record SentSnapshots(AnswerId answerId, Map<String, RunnerSnapshot> snapshots) {}

    /**
     * Identifies an answer.
     *
     * @param term term of the leader that gave it, 0 for no answer
     * @param number its number, rising within a term
     */
    record AnswerId(long term, long number) {
        static final AnswerId NONE = new AnswerId(0, 0);
    }

    /**
     * What a node is told.
     *
     * @param answer identifies the answer
     * @param snapshots runners that have changed, or all
     */
    record Delta(AnswerId answerId, List<RunnerSnapshot> snapshots) {}

    /**
     * Returns what a node is to be told now.
     *
     * @param node name of the node
     * @param term term of this leader
     * @param acknowledged answer that the node has taken last
     * @param current all runners as they are now
     */
    synchronized Delta deltaFor(String node, long term, AnswerId acknowledged, List<RunnerSnapshot> current) {
        Map<String, RunnerSnapshot> previous = Optional.ofNullable(sentByNode.get(node))
                .filter(sent -> sent.answerId().equals(acknowledged))
                .map(SentSnapshots::snapshots)
                .orElse(Map.of());
        AnswerId answerId = new AnswerId(term, ++lastNumber);
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

    private static RunnerSnapshot withoutUnchangedModels(RunnerSnapshot snapshot, RunnerSnapshot previous) {
        boolean modelsKnown = previous != null
                && previous.startedMs() == snapshot.startedMs()
                && previous.models().equals(snapshot.models());
        return modelsKnown ? snapshot.withoutModels() : snapshot;
    }
}
