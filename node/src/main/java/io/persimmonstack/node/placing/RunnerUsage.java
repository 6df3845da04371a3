package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;

/**
 * Requests of one node for one model that are in progress at a runner.
 *
 * @param runner identifier of the runner
 * @param model model or adapter that they use; both names are empty for services without models
 * @param requests number of requests
 * @param tokens estimated number of tokens of these requests
 */
public record RunnerUsage(String runner, ModelRef model, int requests, long tokens) {}
