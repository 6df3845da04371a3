package io.persimmonstack.coordination.feed;

import io.persimmonstack.coordination.kv.KvException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Newest configuration that a node has, from the key-value service or from a peer. The version never goes back.
 *
 * @param <C> decoded configuration
 */
public final class ConfigurationFeed<C> {
    /**
     * Decodes content.
     *
     * @param <C> decoded configuration
     */
    public interface Decoder<C> {
        /**
         * Decodes the content of a version.
         *
         * @param content bytes as committed
         * @return the configuration, or empty where this program cannot use it
         */
        Optional<C> decode(byte[] content);
    }

    /**
     * Told of every version that comes in force here.
     *
     * @param <C> decoded configuration
     */
    public interface Listener<C> {
        /**
         * A version is in force on this node.
         *
         * @param current the version
         */
        void activated(ActiveConfiguration<C> current);
    }

    /**
     * One version.
     *
     * @param version number of the version, 0 before the first
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
     * Creates a feed without a version.
     *
     * @param empty configuration in force before the first version
     * @param decoder decodes content
     * @param listener told of each version, in order
     * @param <C> decoded configuration
     * @return the feed
     */
    public static <C> ConfigurationFeed<C> of(C empty, Decoder<C> decoder, Listener<C> listener) {
        return new ConfigurationFeed<>(new ActiveConfiguration<>(0, new byte[0], empty), decoder, listener);
    }

    /** Returns the version in force on this node. */
    public ActiveConfiguration<C> current() {
        return current.get();
    }

    /** Returns whether a version, or that there is none yet, is known. */
    public boolean isInitialised() {
        return initialised;
    }

    /**
     * Takes a version if it is higher than the one in force.
     *
     * @param version number of the version
     * @param content bytes as committed
     * @return whether it came in force
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
     * Reads the head, and the content where it is newer.
     *
     * @param store committed configurations
     * @return whether a new version came in force
     * @throws KvException if the service gave no usable answer
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
     * Reads the content that a head names, where it is newer.
     *
     * @param store committed configurations
     * @param head head as read or watched
     * @return whether a new version came in force
     * @throws KvException if the service gave no usable answer
     */
    public boolean fetchIfNewer(ConfigurationStore store, ConfigurationHead head) throws KvException {
        initialised |= head.version() == current.get().version();
        return head.version() > current.get().version() && offer(head.version(), store.readContent(head));
    }
}
