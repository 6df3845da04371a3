package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;

/**
 * What reconciling a runner's slots with the model records found.
 *
 * @param owned whether this node still owns the runner
 * @param orphaned slots that stood in a model record only and were given back
 * @param surplus slots above a lowered cap, and slots whose model record has no room: unload them and give them back
 */
public record ReconcileReport(boolean owned, List<ModelVersion> orphaned, List<ModelVersion> surplus) {
    /** Copies the lists. */
    public ReconcileReport {
        orphaned = List.copyOf(orphaned);
        surplus = List.copyOf(surplus);
    }

    static ReconcileReport notOwner() {
        return new ReconcileReport(false, List.of(), List.of());
    }

    static ReconcileReport adopting() {
        return new ReconcileReport(true, List.of(), List.of());
    }
}
