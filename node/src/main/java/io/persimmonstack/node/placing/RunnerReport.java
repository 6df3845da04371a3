package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.HeldModel;
import java.util.List;

/**
 * What the leader knows of one runner process.
 *
 * @param runner identifier of the runner
 * @param startedMs start of its process
 * @param models models that it holds
 * @param requestsElsewhere requests in progress there from other nodes
 * @param tokensElsewhere tokens that they will probably occupy
 */
public record RunnerReport(
        String runner, long startedMs, List<HeldModel> models, int requestsElsewhere, long tokensElsewhere) {}
