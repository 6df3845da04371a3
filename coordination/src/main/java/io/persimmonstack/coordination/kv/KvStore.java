package io.persimmonstack.coordination.kv;

import java.util.Optional;

/**
 * Key-value service with compare-and-swap on single keys. It holds the only durable state of the system.
 *
 * <pre>{@code
 * switch (store.put("/persimmon/model/summary", value, Expectation.absent())) {
 *     case WriteOutcome.Applied applied -> saveRevision(applied.revision());
 *     case WriteOutcome.Conflict conflict -> mergeWith(conflict.current());
 * }
 * }</pre>
 *
 * <p>Revisions only rise and none is given out twice, also if the service comes back from a copy and counts anew.
 *
 * <p>Every method may throw {@link KvUnavailableException} (the call had no effect). Every write may also throw
 * {@link KvAmbiguousException} (the write may have taken effect; read the key to find out).
 */
public interface KvStore {
    /** Maximum size of a stored value, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /**
     * Reads one key.
     *
     * @param key full key
     * @return the entry, or empty if the key does not exist
     * @throws KvException if the call failed
     */
    Optional<KvEntry> get(String key) throws KvException;

    /**
     * Reads all entries whose keys start with a prefix, at one revision and in key order.
     *
     * @param prefix key prefix
     * @return the entries and the store revision at which they were read
     * @throws KvException if the call failed
     */
    KvRange list(String prefix) throws KvException;

    /** Callback for the entries of a {@link #scan scan}. */
    interface EntryConsumer {
        /** Processes the next entry in key order; an exception aborts the scan. */
        void accept(KvEntry entry) throws KvException;
    }

    /**
     * Passes all entries whose keys start with a prefix to a consumer, at one revision and in key order.
     * Implementations that read in pages keep only one page in memory.
     *
     * @param prefix key prefix
     * @param consumer called with each entry
     * @return the store revision at which the entries were read
     * @throws KvException if the call failed
     */
    default long scan(String prefix, EntryConsumer consumer) throws KvException {
        KvRange range = list(prefix);
        for (KvEntry entry : range.entries()) {
            consumer.accept(entry);
        }
        return range.revision();
    }

    /**
     * Writes a value if the key meets a precondition.
     *
     * @param key full key
     * @param value new value, at most {@link #MAX_VALUE_BYTES} long
     * @param expected precondition of the write
     * @return the revision of the write, or the conflicting entry if the precondition was not met
     * @throws KvException if the call failed
     */
    WriteOutcome put(String key, byte[] value, Expectation expected) throws KvException;

    /**
     * Deletes a key if it meets a precondition.
     *
     * @param key full key
     * @param expected precondition of the deletion
     * @return the revision of the deletion, or the conflicting entry if the precondition was not met
     * @throws KvException if the call failed
     */
    WriteOutcome delete(String key, Expectation expected) throws KvException;

    /**
     * Watches all keys that start with a prefix.
     *
     * @param prefix key prefix
     * @param fromRevision first revision to report
     * @param watcher receives the changes in revision order, on a thread of the store implementation
     * @return the subscription, active until it is closed or {@link KvWatcher#ended} is called
     * @throws KvException if the call failed
     */
    KvSubscription watch(String prefix, long fromRevision, KvWatcher watcher) throws KvException;
}
