package io.persimmonstack.node.fleet;

/**
 * One process of a runner.
 *
 * @param runner identifier of the runner, which a later process may reuse
 * @param startedMs start time of the process, in Unix milliseconds
 */
public record RunnerProcess(String runner, long startedMs) {}
