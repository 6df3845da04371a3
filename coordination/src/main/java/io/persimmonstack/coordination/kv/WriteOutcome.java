package io.persimmonstack.coordination.kv;

import java.util.Optional;

/** Result of a conditional write. */
public sealed interface WriteOutcome {
    /**
     * The write took effect.
     *
     * @param revision store revision of the write
     */
    record Applied(long revision) implements WriteOutcome {}

    /**
     * The precondition was not met and the write had no effect.
     *
     * @param current current entry of the key, empty if the key does not exist
     */
    record Conflict(Optional<KvEntry> current) implements WriteOutcome {}
}
