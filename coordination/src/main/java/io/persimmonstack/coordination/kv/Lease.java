package io.persimmonstack.coordination.kv;

/**
 * Lease of keys, which are removed when it ends.
 *
 * @param id identifier given by the service
 * @param ttlMs time after the last renewal at which it ends, in milliseconds
 */
public record Lease(long id, int ttlMs) {}
