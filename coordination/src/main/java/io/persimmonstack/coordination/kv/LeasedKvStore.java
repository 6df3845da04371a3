package io.persimmonstack.coordination.kv;

/** Key-value service whose keys may be bound to a lease. */
public interface LeasedKvStore extends KvStore {
    /**
     * Begins a lease.
     *
     * @param ttlMs wanted time to live after each renewal, in milliseconds
     * @return the lease with the time that applies
     * @throws KvException if the service gave no answer
     */
    Lease grant(int ttlMs) throws KvException;

    /**
     * Renews a lease.
     *
     * @param lease lease to renew
     * @return whether it still ran
     * @throws KvException if the service gave no answer
     */
    boolean keepAlive(Lease lease) throws KvException;

    /**
     * Ends a lease and removes its keys.
     *
     * @param lease lease to end
     * @throws KvException if the service gave no answer
     */
    void revoke(Lease lease) throws KvException;

    /**
     * Writes a value that is removed with its lease.
     *
     * @param key full key
     * @param value new value
     * @param expected state of the key that the write depends on
     * @param lease lease of the key
     * @return whether the write took effect
     * @throws KvException if the service gave no answer or the lease has ended
     */
    WriteOutcome put(String key, byte[] value, Expectation expected, Lease lease) throws KvException;
}
