package io.persimmonstack.coordination.kv;

/**
 * Lease that keys can be bound to. The service deletes these keys when the lease expires or is revoked.
 *
 * @param id identifier assigned by the service; after it has come back from a copy it may assign one anew
 * @param ttlMs time to live after each renewal, in milliseconds
 * @param era era of the service that granted the lease, 0 if it tells none
 */
public record Lease(long id, int ttlMs, long era) {}
