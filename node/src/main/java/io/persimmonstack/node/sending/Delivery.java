package io.persimmonstack.node.sending;

/**
 * What became of a request that a runner answered.
 *
 * @param firstEventMs time to the first event of a stream, in milliseconds; negative for other answers
 */
public record Delivery(long firstEventMs) {}
