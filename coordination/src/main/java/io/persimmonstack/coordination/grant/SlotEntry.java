package io.persimmonstack.coordination.grant;

import java.util.Objects;

/**
 * Entry of one slot in a model record.
 *
 * @param runner runner that holds the slot
 * @param version version of the model that the runner may load
 * @param epoch epoch of the owner that last wrote the entry; an owner with a lower epoch may not remove it
 */
public record SlotEntry(String runner, String version, long epoch) {
    /** Rejects missing names. */
    public SlotEntry {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(version, "version");
    }
}
