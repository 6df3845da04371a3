package io.persimmonstack.node.planning;

/**
 * What keeps an order from being carried out out of turn.
 *
 * @param holder name of the node that leads
 * @param term term of its lead, the fencing number
 * @param sequence orders that the runner has taken so far; one that arrives later is refused
 */
public record OrderTicket(String holder, long term, long sequence) {}
