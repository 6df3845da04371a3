package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;

/**
 * Differences that were found between a runner's slots and the model records.
 *
 * @param owned whether this process still owns the runner
 * @param orphaned slots that were in a model record only; their entries have been removed
 * @param surplus slots above a lowered cap, and slots whose entry could not be restored; the caller has to unload them
 *     and give them back
 */
public record ReconcileReport(boolean owned, List<ModelVersion> orphaned, List<ModelVersion> surplus) {
    /** Copies the lists. */
    public ReconcileReport {
        orphaned = List.copyOf(orphaned);
        surplus = List.copyOf(surplus);
    }

    /** Returns the report on a runner that this process no longer owns. */
    static ReconcileReport notOwner() {
        return new ReconcileReport(false, List.of(), List.of());
    }

    /** Returns the report on a runner in phase ADOPTING, which was not reconciled. */
    static ReconcileReport adopting() {
        return new ReconcileReport(true, List.of(), List.of());
    }
}
