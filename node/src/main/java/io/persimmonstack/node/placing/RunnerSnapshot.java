package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.HeldModel;
import java.util.List;
import java.util.Optional;

/**
 * What the leader knows of one runner process.
 *
 * @param runner identifier of the runner
 * @param startedMs start of its process
 * @param models models that it holds, absent where they are as reported before
 * @param requestsElsewhere requests in progress there from other nodes
 * @param tokensElsewhere tokens that they will probably occupy
 */
public record RunnerSnapshot(
        String runner, long startedMs, Optional<List<HeldModel>> models, int requestsElsewhere, long tokensElsewhere) {
    /** Returns this report for a node that knows the models already. */
    public RunnerSnapshot withoutModels() {
        return new RunnerSnapshot(runner, startedMs, Optional.empty(), requestsElsewhere, tokensElsewhere);
    }
}
