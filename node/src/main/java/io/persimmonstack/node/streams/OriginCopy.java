package io.persimmonstack.node.streams;

/**
 * Copy of an origin on its way to another node.
 *
 * @param request identifier of the request that brought the first event
 * @param origin where the stream began
 * @param validMs for how long the receiver is to keep it, in milliseconds
 */
record OriginCopy(String request, StreamOrigin origin, long validMs) {}
