package io.persimmonstack.node.placing;

import java.util.List;

/**
 * Load of this node, as it is reported to the leader.
 *
 * @param usages requests in progress, by runner and model
 * @param demands demand for models, with the requests that arrived since the previous report
 * @param unreachableRunners identifiers of runners that this node recently failed to reach
 */
public record LocalLoad(List<RunnerUsage> usages, List<ModelDemand> demands, List<String> unreachableRunners) {}
