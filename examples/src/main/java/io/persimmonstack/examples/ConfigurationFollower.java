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

/** Commits and follows a configuration whose version never goes back. */
public final class ConfigurationFollower {
    private final ConfigurationStore store;
    private final ConfigurationFeed<String> feed =
            ConfigurationFeed.of("", bytes -> Optional.of(new String(bytes, StandardCharsets.UTF_8)), current -> {});

    private ConfigurationFollower(ConfigurationStore store) {
        this.store = store;
    }

    /** Returns a follower that has read nothing yet. */
    public static ConfigurationFollower of(KvStore kv) {
        return new ConfigurationFollower(
                ConfigurationStore.of(kv, ConfigurationHeadCodec.create(), TimeSource.system()));
    }

    /**
     * Commits a configuration that was derived from the one this follower has.
     *
     * @param content new configuration
     * @param operation identifier that stays the same over repeats of this call
     * @return whether it was committed; false where somebody else committed first
     * @throws KvException if that cannot be told; call again with the same operation
     */
    public boolean commit(String content, String operation) throws KvException {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        return switch (store.commit(feed.current().version(), bytes, operation, "example")) {
            case CommitOutcome.Committed committed -> true;
            case CommitOutcome.Conflict conflict -> false;
        };
    }

    /** Reads the version in force and returns it. */
    public String refresh() throws KvException {
        feed.refresh(store);
        return feed.current().configuration();
    }
}
