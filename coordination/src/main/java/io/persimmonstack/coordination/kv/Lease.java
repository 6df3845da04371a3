package io.persimmonstack.coordination.kv;

/**
 * Lease that keys can be bound to. The service deletes these keys when the lease expires or is revoked.
 *
 * @param id identifier assigned by the service
 * @param ttlMs time to live after each renewal, in milliseconds
 */
public record Lease(long id, int ttlMs) {}
