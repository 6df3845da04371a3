package io.persimmonstack.coordination.kv;

/** Change to a single key, as reported to a {@link KvWatcher}. */
public sealed interface KvChange {
    /**
     * The key was created or updated.
     *
     * @param entry entry after the write
     */
    record Written(KvEntry entry) implements KvChange {}

    /**
     * The key was deleted.
     *
     * @param key full key
     * @param revision store revision of the deletion
     */
    record Deleted(String key, long revision) implements KvChange {}
}
