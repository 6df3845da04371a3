package io.persimmonstack.examples;

import io.persimmonstack.coordination.feed.CommitOutcome;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Commits configurations and follows the active one, whose version never decreases. */
public final class ConfigurationFollower {
    private final ConfigurationStore store;
    private final ConfigurationFeed<String> feed =
            ConfigurationFeed.of("", bytes -> Optional.of(new String(bytes, StandardCharsets.UTF_8)), active -> {});

    private ConfigurationFollower(ConfigurationStore store) {
        this.store = store;
    }

    /** Creates a follower at version 0, with an empty configuration. */
    public static ConfigurationFollower of(KvStore kv) {
        return new ConfigurationFollower(
                ConfigurationStore.of(kv, ConfigurationHeadCodec.create(), TimeSource.system()));
    }

    /**
     * Commits a configuration that was derived from the one last read by this follower.
     *
     * @param content new configuration
     * @param operation unique identifier of the operation, the same if the call is repeated
     * @return whether it was committed; false if another version was committed first
     * @throws KvException if the outcome is unknown; call again with the same operation
     */
    public boolean commit(String content, String operation) throws KvException {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        return switch (store.commit(feed.current().version(), bytes, operation, "example")) {
            case CommitOutcome.Committed committed -> true;
            case CommitOutcome.Conflict conflict -> false;
        };
    }

    /** Reads the active configuration and returns its content, empty if nothing has been committed. */
    public String refresh() throws KvException {
        feed.refresh(store);
        return feed.current().configuration();
    }
}
