package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;

/**
 * Requests of one node in progress at a runner.
 *
 * @param runner identifier of the runner
 * @param model model or adapter that they use; both names empty for plain services
 * @param requests number of requests
 * @param tokens tokens that they will probably occupy
 */
public record RunnerUsage(String runner, ModelRef model, int requests, long tokens) {}
