package io.persimmonstack.node.sending;

/**
 * What became of a request that a runner answered.
 *
 * @param runner identifier of the runner
 * @param sends how many times the request was sent
 * @param firstMs time to the first event of a stream, in milliseconds; negative for other answers
 */
public record Served(String runner, int sends, long firstMs) {}
