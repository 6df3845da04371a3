package io.persimmonstack.coordinator.explain;

import io.persimmonstack.wire.explain.Topic;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.StatusLine;
import java.util.List;
import java.util.stream.Collectors;

/** Explains a runner to operators from the state that its owner announced. */
final class RunnerExplainer {
    private static final int BYTES_TO_MIB_SHIFT = 20;

    private RunnerExplainer() {}

    /**
     * Explains a runner.
     *
     * @param status state announced by the owner
     * @param ownerLive whether the process that announced the state is a live member
     * @return one line for each attribute
     */
    static List<StatusLine> explain(RunnerStatus status, boolean ownerLive) {
        String owner = status.getOwnerNode() + "#" + status.getOwnerIncarnation();
        String models = status.getModels().stream().map(LoadedModel::getModel).collect(Collectors.joining(" "));
        return List.of(
                line(status, Topic.OWNER, ownerLive ? owner : owner + ", which is not alive"),
                line(status, Topic.EPOCH, Long.toString(status.getEpoch())),
                line(status, Topic.LEAVING, status.isLeaving() ? "yes" : "no"),
                line(status, Topic.FENCING, status.isFencing() ? "yes" : "no"),
                line(status, Topic.MEMORY, memoryUsage(status)),
                line(status, Topic.SLOTS, String.join(" ", status.getSlots())),
                line(status, Topic.MODELS, models));
    }

    private static String memoryUsage(RunnerStatus status) {
        return (status.getUsedBytes() >> BYTES_TO_MIB_SHIFT) + " of " + (status.getMemoryBytes() >> BYTES_TO_MIB_SHIFT)
                + " MB";
    }

    static StatusLine line(RunnerStatus status, Topic topic, String value) {
        return line(status.getRunner(), topic, value);
    }

    /** Returns one line of the explanation of a runner. */
    static StatusLine line(String runner, Topic topic, String value) {
        return new StatusLine("runner " + runner, topic.text(), value);
    }
}
