package io.persimmonstack.node.sending;

/**
 * Result of a request whose complete answer was forwarded to the caller.
 *
 * @param firstEventMs time from the receipt of the request to the first event of a stream, in milliseconds; negative if
 *     there was none
 */
public record Delivery(long firstEventMs) {}
