package io.persimmonstack.node.placing;

import java.util.List;

/**
 * What one node tells the leader.
 *
 * @param usages its requests in progress, by runner and model
 * @param demands what its callers ask of models since the last time
 * @param unreachableRunners runners that it could not reach lately
 */
public record LocalLoad(List<RunnerUsage> usages, List<ModelDemand> demands, List<String> unreachableRunners) {}
