package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.ArrayList;
import java.util.List;

/** Repairs differences between the record of one owned runner and the model records. Used for one run only. */
final class Reconciler {
    private final ModelRecordUpdater modelRecords;
    private final ReplicaCaps caps;
    private final OwnedRunnerState owned;
    private final List<ModelVersion> orphaned = new ArrayList<>();
    private final List<ModelVersion> surplus = new ArrayList<>();

    Reconciler(ModelRecordUpdater modelRecords, ReplicaCaps caps, OwnedRunnerState owned) {
        this.modelRecords = modelRecords;
        this.caps = caps;
        this.owned = owned;
    }

    /** Reconciles the runner with the given model records, which may be older than the runner record. */
    ReconcileReport reconcile(List<ModelRecord> allRecords) throws KvException {
        for (ModelRecord modelRecord : allRecords) {
            if (modelRecord.entries().stream().anyMatch(entry -> entry.runner().equals(owned.runner()))) {
                reconcileRecord(modelRecords.recordCap(
                        modelRecord, caps.cap(modelRecord.model()), caps.unchangedSince(modelRecord.model())));
            }
        }
        for (ModelVersion slot : owned.runnerRecord().sortedSlots()) {
            if (!surplus.contains(slot) && !hasCurrentEntry(slot, allRecords)) {
                restoreEntry(slot);
            }
        }
        return new ReconcileReport(true, orphaned, surplus);
    }

    /** Removes the runner's orphaned entries from a model record and collects its slots above the cap. */
    private void reconcileRecord(ModelRecord modelRecord) throws KvException {
        for (SlotEntry entry : modelRecord.entries()) {
            if (entry.runner().equals(owned.runner())) {
                removeIfOrphaned(ModelVersion.of(modelRecord.model(), entry.version()));
            }
        }
        for (ModelVersion slot : modelRecord.surplus(owned.runner())) {
            if (owned.hasSlot(slot)) {
                surplus.add(slot);
            }
        }
    }

    private void removeIfOrphaned(ModelVersion slot) throws KvException {
        if (!owned.hasSlot(slot)) {
            modelRecords.removeOrphanedEntry(owned.runner(), slot, owned.epoch());
            orphaned.add(slot);
        }
    }

    /** Adds the missing entry of a slot, or reports the slot as surplus if the entry cannot be added. */
    private void restoreEntry(ModelVersion slot) throws KvException {
        if (!(modelRecords.adoptEntry(owned.runner(), slot, owned.epoch())
                instanceof ModelRecordUpdater.UpdateResult.Applied)) {
            surplus.add(slot);
        }
    }

    /** Returns whether the slot has an entry with the current epoch in the given model records. */
    private boolean hasCurrentEntry(ModelVersion slot, List<ModelRecord> allRecords) {
        return allRecords.stream()
                .filter(modelRecord -> modelRecord.model().equals(slot.model()))
                .flatMap(modelRecord -> modelRecord.entry(owned.runner(), slot.version()).stream())
                .anyMatch(entry -> entry.epoch() == owned.epoch());
    }
}
