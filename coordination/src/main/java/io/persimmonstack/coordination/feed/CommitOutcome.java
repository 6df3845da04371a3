package io.persimmonstack.coordination.feed;

import java.util.Optional;

/** Result of a configuration commit. */
public sealed interface CommitOutcome {
    /**
     * The operation's configuration has been committed, by this or an earlier attempt.
     *
     * @param head head of the commit, or of a later version that includes it
     */
    record Committed(ConfigurationHead head) implements CommitOutcome {}

    /**
     * The active version is not the base version of the commit; the active configuration is unchanged.
     *
     * @param current active head, empty if nothing has been committed
     */
    record Conflict(Optional<ConfigurationHead> current) implements CommitOutcome {}
}
