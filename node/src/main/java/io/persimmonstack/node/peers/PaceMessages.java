package io.persimmonstack.node.peers;

import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.RunnerPace;
import java.util.List;

/** Converts the paces of runners in the Thrift messages of the load exchange; nodes of earlier versions send none. */
final class PaceMessages {
    private PaceMessages() {}

    static void addTo(NodeLoad load, List<io.persimmonstack.node.pace.RunnerPace> paces) {
        load.setPaces(toMessages(paces));
    }

    static void addTo(FleetLoad load, List<io.persimmonstack.node.pace.RunnerPace> paces) {
        load.setPaces(toMessages(paces));
    }

    static List<io.persimmonstack.node.pace.RunnerPace> paces(NodeLoad load) {
        return fromMessages(load.getPaces());
    }

    static List<io.persimmonstack.node.pace.RunnerPace> paces(FleetLoad load) {
        return fromMessages(load.getPaces());
    }

    private static List<RunnerPace> toMessages(List<io.persimmonstack.node.pace.RunnerPace> paces) {
        return paces.stream()
                .map(pace -> new RunnerPace(pace.runner(), pace.startedMs(), pace.answers(), pace.ratio()))
                .toList();
    }

    private static List<io.persimmonstack.node.pace.RunnerPace> fromMessages(List<RunnerPace> messages) {
        return messages == null
                ? List.of()
                : messages.stream()
                        .map(message -> new io.persimmonstack.node.pace.RunnerPace(
                                message.getRunner(), message.getStartedMs(), message.getAnswers(), message.getRatio()))
                        .toList();
    }
}
