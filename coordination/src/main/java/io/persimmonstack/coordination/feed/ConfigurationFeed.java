package io.persimmonstack.coordination.feed;

import io.persimmonstack.coordination.kv.KvException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Active configuration of a node, updated from the key-value service or from peers. The version never decreases.
 *
 * @param <C> decoded configuration
 */
public final class ConfigurationFeed<C> {
    /**
     * Decodes the content of a configuration version.
     *
     * @param <C> decoded configuration
     */
    public interface Decoder<C> {
        /**
         * Decodes the content of a version.
         *
         * @param content bytes as committed
         * @return the configuration, or empty if this program cannot use it
         */
        Optional<C> decode(byte[] content);
    }

    /**
     * Callback for newly activated versions.
     *
     * @param <C> decoded configuration
     */
    public interface Listener<C> {
        /**
         * Called when a version has become active on this node, in version order.
         *
         * @param current the active configuration
         */
        void activated(ActiveConfiguration<C> current);
    }

    /**
     * Configuration that is active on this node, with its version.
     *
     * @param version version number, 0 before the first version
     * @param content bytes as committed
     * @param configuration decoded configuration
     * @param <C> decoded configuration
     */
    public record ActiveConfiguration<C>(long version, byte[] content, C configuration) {}

    private final AtomicReference<ActiveConfiguration<C>> current;
    private final Decoder<C> decoder;
    private final Listener<C> listener;
    private volatile boolean initialised;

    private ConfigurationFeed(ActiveConfiguration<C> initial, Decoder<C> decoder, Listener<C> listener) {
        this.current = new AtomicReference<>(initial);
        this.decoder = decoder;
        this.listener = listener;
    }

    /**
     * Creates a feed at version 0.
     *
     * @param empty configuration to use until the first version is activated
     * @param decoder decodes the content of a version
     * @param listener called with each activated version, in version order, while the feed is locked
     * @param <C> decoded configuration
     * @return the feed
     */
    public static <C> ConfigurationFeed<C> of(C empty, Decoder<C> decoder, Listener<C> listener) {
        return new ConfigurationFeed<>(new ActiveConfiguration<>(0, new byte[0], empty), decoder, listener);
    }

    /** Returns the configuration that is active on this node. */
    public ActiveConfiguration<C> current() {
        return current.get();
    }

    /** Returns whether the feed has activated a version or has learnt that none has been committed yet. */
    public boolean isInitialised() {
        return initialised;
    }

    /**
     * Activates a version if it is newer than the active one and can be decoded.
     *
     * @param version version number
     * @param content bytes as committed
     * @return whether the version was activated
     */
    public synchronized boolean offer(long version, byte[] content) {
        if (version <= current.get().version()) {
            return false;
        }
        Optional<C> decoded = decoder.decode(content);
        if (decoded.isEmpty()) {
            return false;
        }
        ActiveConfiguration<C> newest = new ActiveConfiguration<>(version, content, decoded.get());
        current.set(newest);
        initialised = true;
        listener.activated(newest);
        return true;
    }

    /**
     * Reads the stored head and, if it is newer than the active version, fetches and activates its content.
     *
     * @param store store to read from
     * @return whether a new version was activated
     * @throws KvException if a read failed or the stored content is corrupt
     */
    public boolean refresh(ConfigurationStore store) throws KvException {
        Optional<StoredHead> head = store.readHead();
        if (head.isEmpty()) {
            initialised = true;
            return false;
        }
        return fetchIfNewer(store, head.get().head());
    }

    /**
     * Fetches and activates the content of a head if it is newer than the active version.
     *
     * @param store store to read from
     * @param head head obtained by a read or a watch
     * @return whether a new version was activated
     * @throws KvException if a read failed or the stored content is corrupt
     */
    public boolean fetchIfNewer(ConfigurationStore store, ConfigurationHead head) throws KvException {
        initialised |= head.version() == current.get().version();
        return head.version() > current.get().version() && offer(head.version(), store.readContent(head));
    }
}
