package io.persimmonstack.coordination.kv;

/** Key-value service that can bind keys to a lease. */
public interface LeasedKvStore extends KvStore {
    /**
     * Creates a lease.
     *
     * @param ttlMs requested time to live after each renewal, in milliseconds
     * @return the lease with the time to live that the service granted
     * @throws KvException if the call failed
     */
    Lease grant(int ttlMs) throws KvException;

    /**
     * Returns whether the store still is the one that granted a lease, as far as it is known without asking. One that
     * came back from a copy may have lost the lease, or have given its identifier to another process.
     *
     * @param lease lease that was granted earlier
     */
    default boolean isCurrent(Lease lease) {
        return true;
    }

    /**
     * Renews a lease.
     *
     * @param lease lease to renew
     * @return whether the lease was still active
     * @throws KvException if the call failed
     */
    boolean keepAlive(Lease lease) throws KvException;

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param lease lease to revoke
     * @throws KvException if the call failed
     */
    void revoke(Lease lease) throws KvException;

    /**
     * Writes a value if the key meets a precondition, and binds the key to a lease.
     *
     * @param key full key
     * @param value new value, at most {@link #MAX_VALUE_BYTES} long
     * @param expected precondition of the write
     * @param lease lease to bind the key to
     * @return the revision of the write, or the conflicting entry if the precondition was not met
     * @throws KvLeaseEndedException if the lease has expired or was revoked
     * @throws KvException if the call failed
     */
    WriteOutcome put(String key, byte[] value, Expectation expected, Lease lease) throws KvException;
}
