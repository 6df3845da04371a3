package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.HeldModel;
import java.util.List;
import java.util.Optional;

/**
 * State of one runner process as the leader sends it to a node.
 *
 * @param runner identifier of the runner
 * @param startedMs start of the runner's process, in Unix milliseconds
 * @param models models that it holds, empty if unchanged since the previous snapshot
 * @param requestsElsewhere requests of other nodes that are in progress at the runner
 * @param tokensElsewhere estimated number of tokens of these requests
 */
public record RunnerSnapshot(
        String runner, long startedMs, Optional<List<HeldModel>> models, int requestsElsewhere, long tokensElsewhere) {
    /** Returns this snapshot without the models, for a node that already has them. */
    public RunnerSnapshot withoutModels() {
        return new RunnerSnapshot(runner, startedMs, Optional.empty(), requestsElsewhere, tokensElsewhere);
    }
}
