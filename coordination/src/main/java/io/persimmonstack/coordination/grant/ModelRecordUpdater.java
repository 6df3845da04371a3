package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * Adds and removes slot entries in the model records. Updates are optimistic: after a conflicting write the method
 * decides again on the record that it found.
 */
final class ModelRecordUpdater {
    private final RecordStore<ModelRecord> records;

    /** Outcome of an update of a model record. */
    sealed interface UpdateResult {
        /** The record has the requested content, either by this update or already before it. */
        record Applied(ModelRecord record) implements UpdateResult {}

        /** The entry would exceed the cap. */
        record CapReached(ModelRecord record) implements UpdateResult {}

        /** The cap in the record is from a newer configuration than the caller's. */
        record StaleConfiguration(ModelRecord record) implements UpdateResult {}

        /** The entry has a higher epoch: the runner has a new owner. */
        record Superseded() implements UpdateResult {}
    }

    /** Whether to write a record. */
    private sealed interface UpdateDecision {
        /** Write the given record. */
        record Write(ModelRecord next) implements UpdateDecision {}

        /** Leave the record unchanged and return the given result. */
        record Skip(UpdateResult result) implements UpdateDecision {}
    }

    /** Computes the update of a record from its current content; may be called several times. */
    private interface UpdateFunction {
        UpdateDecision decide(ModelRecord current);
    }

    ModelRecordUpdater(RecordStore<ModelRecord> records) {
        this.records = records;
    }

    /** Reads the records of all models in one call. */
    List<ModelRecord> readAll() throws KvException {
        return records.readAll(GrantKeys.MODEL_PREFIX).stream()
                .map(RecordStore.Stored::value)
                .toList();
    }

    /**
     * Adds a slot entry with the given epoch. Rewrites an existing entry, so that an earlier write that is still in
     * flight cannot remove it later.
     */
    UpdateResult addEntry(String runner, ModelVersion slot, long epoch, ReplicaCap cap) throws KvException {
        return update(slot.model(), current -> {
            ModelRecord updated = current.withNewerCap(cap);
            if (updated.cap().configurationVersion() > cap.configurationVersion()) {
                return new UpdateDecision.Skip(new UpdateResult.StaleConfiguration(updated));
            }
            return decideAddition(updated, new SlotEntry(runner, slot.version(), epoch));
        });
    }

    /**
     * Rewrites the entry of a slot in the runner record with the given epoch. Adds a missing entry if the cap allows
     * it.
     */
    UpdateResult adoptEntry(String runner, ModelVersion slot, long epoch) throws KvException {
        return update(slot.model(), current -> {
            Optional<SlotEntry> entry = current.entry(runner, slot.version());
            SlotEntry adopted = new SlotEntry(runner, slot.version(), epoch);
            if (entry.isEmpty()) {
                return decideAddition(current, adopted);
            }
            if (entry.get().epoch() > epoch) {
                return new UpdateDecision.Skip(new UpdateResult.Superseded());
            }
            return entry.get().epoch() == epoch
                    ? new UpdateDecision.Skip(new UpdateResult.Applied(current))
                    : new UpdateDecision.Write(current.withEntry(adopted));
        });
    }

    /** Removes the entry of a slot if it was written with exactly the given epoch. */
    void removeEntry(String runner, ModelVersion slot, long epoch) throws KvException {
        update(slot.model(), current -> {
            boolean writtenByEpoch = current.entry(runner, slot.version())
                    .filter(entry -> entry.epoch() == epoch)
                    .isPresent();
            return writtenByEpoch
                    ? new UpdateDecision.Write(current.withoutEntry(runner, slot.version()))
                    : new UpdateDecision.Skip(new UpdateResult.Applied(current));
        });
    }

    /**
     * Removes the entry of a slot that is missing from the runner record of the given epoch. Leaves an entry with a
     * higher epoch, which belongs to a new owner.
     */
    void removeOrphanedEntry(String runner, ModelVersion slot, long epoch) throws KvException {
        update(slot.model(), current -> {
            boolean removable = current.entry(runner, slot.version())
                    .filter(entry -> entry.epoch() <= epoch)
                    .isPresent();
            return removable
                    ? new UpdateDecision.Write(current.withoutEntry(runner, slot.version()))
                    : new UpdateDecision.Skip(new UpdateResult.Applied(current));
        });
    }

    /**
     * Records the cap of a newer configuration if it differs from the recorded one or may have differed in a version in
     * between. From then on grants under older configurations are refused.
     *
     * @param unchangedSince first version of the configuration since which the cap is known not to have changed
     * @return the record with the cap
     */
    ModelRecord recordCap(ModelRecord existing, ReplicaCap cap, long unchangedSince) throws KvException {
        if (!mustRecordCap(existing, cap, unchangedSince)) {
            return existing;
        }
        UpdateResult result = update(
                existing.model(),
                current -> mustRecordCap(current, cap, unchangedSince)
                        ? new UpdateDecision.Write(current.withNewerCap(cap))
                        : new UpdateDecision.Skip(new UpdateResult.Applied(current)));
        return result instanceof UpdateResult.Applied applied ? applied.record() : existing;
    }

    /** Returns whether a newer cap differs from the recorded one or may have differed since. */
    private static boolean mustRecordCap(ModelRecord record, ReplicaCap cap, long unchangedSince) {
        long recordedVersion = record.cap().configurationVersion();
        return cap.configurationVersion() > recordedVersion
                && (cap.replicas() != record.cap().replicas() || unchangedSince > recordedVersion);
    }

    /** Writes the entry unless it has a higher epoch already or its position exceeds the cap. */
    private static UpdateDecision decideAddition(ModelRecord current, SlotEntry added) {
        Optional<SlotEntry> entry = current.entry(added.runner(), added.version());
        if (entry.isPresent() && entry.get().epoch() > added.epoch()) {
            return new UpdateDecision.Skip(new UpdateResult.Superseded());
        }
        ModelRecord next = current.withEntry(added);
        int position = next.entries().indexOf(added);
        return position < next.cap().replicas()
                ? new UpdateDecision.Write(next)
                : new UpdateDecision.Skip(new UpdateResult.CapReached(current));
    }

    /** Reads a record and applies the function, again after each conflicting write, until it is written or skipped. */
    private UpdateResult update(String model, UpdateFunction function) throws KvException {
        String key = GrantKeys.model(model);
        Optional<RecordStore.Stored<ModelRecord>> found = records.read(key);
        while (true) {
            UpdateDecision updateDecision =
                    function.decide(found.map(RecordStore.Stored::value).orElseGet(() -> ModelRecord.empty(model)));
            if (updateDecision instanceof UpdateDecision.Skip skip) {
                return skip.result();
            }
            ModelRecord nextRecord = ((UpdateDecision.Write) updateDecision).next();
            switch (records.write(key, nextRecord, found)) {
                case RecordStore.Outcome.Written<ModelRecord> written -> {
                    return new UpdateResult.Applied(written.stored().value());
                }
                case RecordStore.Outcome.Conflict<ModelRecord> conflict -> found = conflict.current();
            }
        }
    }
}
