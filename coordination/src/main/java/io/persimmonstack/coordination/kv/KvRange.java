package io.persimmonstack.coordination.kv;

import java.util.List;

/**
 * Consistent snapshot of all entries whose keys start with a prefix.
 *
 * @param entries entries in key order
 * @param revision store revision of the snapshot
 */
public record KvRange(List<KvEntry> entries, long revision) {
    /** Copies the entries into an immutable list. */
    public KvRange {
        entries = List.copyOf(entries);
    }
}
