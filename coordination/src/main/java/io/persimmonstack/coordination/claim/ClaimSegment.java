package io.persimmonstack.coordination.claim;

import java.util.List;

/**
 * Immutable segment of the claim log, written as one record.
 *
 * @param shard shard of the log
 * @param number position in the log, starting at 1
 * @param writer node and incarnation that wrote the segment
 * @param batch unique identifier, by which the writer recognises its own segment after an ambiguous write
 * @param entries entries in log order
 */
public record ClaimSegment(int shard, long number, String writer, String batch, List<ClaimLogEntry> entries) {
    /** Copies the entries into an immutable list. */
    public ClaimSegment {
        entries = List.copyOf(entries);
    }
}
