package io.persimmonstack.coordination.cap;

import java.util.Map;

/**
 * Holders of the slots, as the leader has written them to the store. Immutable.
 *
 * @param term term of the leader that wrote it
 * @param number rises with each table of one term
 * @param holders holders by slot; slots that nobody holds are absent
 */
public record SlotTable(long term, long number, Map<Integer, SlotHolder> holders) {
    /** Table of a node that knows none. */
    public static final SlotTable NONE = new SlotTable(0, 0, Map.of());

    /** Copies the holders. */
    public SlotTable {
        holders = Map.copyOf(holders);
    }

    /** Returns whether this is the table with the given term and number. */
    public boolean is(long otherTerm, long otherNumber) {
        return term == otherTerm && number == otherNumber;
    }
}
