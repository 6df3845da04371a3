package io.persimmonstack.node.planning;

/**
 * Fencing token and expected sequence number that accompany an order, so that a runner refuses orders that are outdated
 * or arrive out of sequence.
 *
 * @param holder name of the leading node
 * @param term term of its leadership, used as the fencing token
 * @param sequence number of orders that the runner is expected to have accepted before this one
 */
public record OrderPrecondition(String holder, long term, long sequence) {}
