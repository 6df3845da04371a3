package io.persimmonstack.node.pace;

/**
 * How fast a runner process has answered, compared with the other runners of its service.
 *
 * @param runner identifier of the runner
 * @param startedMs start of its process, in Unix milliseconds
 * @param answers number of durations that the ratio is based on
 * @param ratio duration over the usual duration: 2 for half the speed
 */
public record RunnerPace(String runner, long startedMs, int answers, double ratio) {}
