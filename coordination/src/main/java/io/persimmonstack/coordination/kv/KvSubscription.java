package io.persimmonstack.coordination.kv;

/** Handle of an active watch. */
public interface KvSubscription extends AutoCloseable {
    /** Stops the watch. */
    @Override
    void close();
}
