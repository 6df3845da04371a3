package io.persimmonstack.node.peers;

import io.persimmonstack.node.placing.RunnerReport;
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
final class ToldReports {
    private static final int MAX_NODES = 1_000;
    private final Map<String, Told> toldByNode = new HashMap<>();
    private long lastNumber;

    private record Told(Answer answer, Map<String, RunnerReport> reports) {}

    /**
     * Identifies an answer.
     *
     * @param term term of the leader that gave it, 0 for no answer
     * @param number its number, rising within a term
     */
    record Answer(long term, long number) {
        static final Answer NONE = new Answer(0, 0);
    }

    /**
     * What a node is told.
     *
     * @param answer identifies the answer
     * @param reports runners that have changed, or all
     */
    record Changes(Answer answer, List<RunnerReport> reports) {}

    /**
     * Returns what a node is to be told now.
     *
     * @param node name of the node
     * @param term term of this leader
     * @param has answer that the node has taken last
     * @param current all runners as they are now
     */
    synchronized Changes changes(String node, long term, Answer has, List<RunnerReport> current) {
        Map<String, RunnerReport> before = Optional.ofNullable(toldByNode.get(node))
                .filter(told -> told.answer().equals(has))
                .map(Told::reports)
                .orElse(Map.of());
        Answer answer = new Answer(term, ++lastNumber);
        if (toldByNode.size() >= MAX_NODES) {
            toldByNode.clear();
        }
        toldByNode.put(
                node,
                new Told(
                        answer, current.stream().collect(Collectors.toMap(RunnerReport::runner, Function.identity()))));
        List<RunnerReport> changed = current.stream()
                .filter(report -> !report.equals(before.get(report.runner())))
                .map(report -> withoutKnownModels(report, before.get(report.runner())))
                .toList();
        return new Changes(answer, changed);
    }

    private static RunnerReport withoutKnownModels(RunnerReport report, RunnerReport before) {
        boolean known = before != null
                && before.startedMs() == report.startedMs()
                && before.models().equals(report.models());
        return known ? report.withoutModels() : report;
    }
}
