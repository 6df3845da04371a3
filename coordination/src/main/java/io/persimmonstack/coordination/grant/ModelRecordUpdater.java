package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/** Slots of the runners in the model records. Every method settles the races for a record by reading it again. */
final class ModelRecordUpdater {
    private final RecordStore<ModelRecord> records;

    /** What became of an attempt to enter a slot. */
    sealed interface UpdateResult {
        /** The entry stands under the writer's epoch. */
        record Applied(ModelRecord record) implements UpdateResult {}

        /** The cap leaves no room. */
        record CapReached(ModelRecord record) implements UpdateResult {}

        /** The record knows a newer configuration. */
        record StaleConfiguration(ModelRecord record) implements UpdateResult {}

        /** The entry bears a higher epoch: the runner has a new owner. */
        record Superseded() implements UpdateResult {}
    }

    /** Next content of a record, or the reason to leave it. */
    private sealed interface UpdateDecision {
        /** Write the record. */
        record Write(ModelRecord next) implements UpdateDecision {}

        /** Leave the record as it is. */
        record Skip(UpdateResult result) implements UpdateDecision {}
    }

    /** Decides on the next content of a record. */
    private interface UpdateFunction {
        UpdateDecision decide(ModelRecord current);
    }

    ModelRecordUpdater(RecordStore<ModelRecord> records) {
        this.records = records;
    }

    List<ModelRecord> readAll() throws KvException {
        return records.readAll(GrantKeys.MODEL_PREFIX).stream()
                .map(RecordStore.Stored::value)
                .toList();
    }

    /**
     * Enters a slot under the epoch. An entry that is there already is written again, so that no earlier write on its
     * way to the service can remove it afterwards.
     */
    UpdateResult addEntry(String runner, ModelVersion slot, long epoch, ReplicaCap cap) throws KvException {
        return update(slot.model(), current -> {
            ModelRecord known = current.withNewerCap(cap);
            if (known.cap().configurationVersion() > cap.configurationVersion()) {
                return new UpdateDecision.Skip(new UpdateResult.StaleConfiguration(known));
            }
            return decideAddition(known, new SlotEntry(runner, slot.version(), epoch));
        });
    }

    /** Rewrites the entry of a slot that stands in the runner record, or enters it again where there is room. */
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

    /** Removes the entry of a slot that was written by the given epoch, and no other. */
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

    /** Removes the entry of a slot that the runner record of the given epoch does not name. */
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
     * Notes a newer configuration's cap where it differs, or where it may have differed in between. Grants under the
     * older ones are refused from then on.
     */
    ModelRecord recordCap(ModelRecord known, ReplicaCap cap, long unchangedSince) throws KvException {
        if (!mustRecordCap(known, cap, unchangedSince)) {
            return known;
        }
        UpdateResult result = update(
                known.model(),
                current -> mustRecordCap(current, cap, unchangedSince)
                        ? new UpdateDecision.Write(current.withNewerCap(cap))
                        : new UpdateDecision.Skip(new UpdateResult.Applied(current)));
        return result instanceof UpdateResult.Applied applied ? applied.record() : known;
    }

    private static boolean mustRecordCap(ModelRecord record, ReplicaCap cap, long unchangedSince) {
        long recordedVersion = record.cap().configurationVersion();
        return cap.configurationVersion() > recordedVersion
                && (cap.replicas() != record.cap().replicas() || unchangedSince > recordedVersion);
    }

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

    private UpdateResult update(String model, UpdateFunction decision) throws KvException {
        String key = GrantKeys.model(model);
        Optional<RecordStore.Stored<ModelRecord>> found = records.read(key);
        while (true) {
            UpdateDecision next =
                    decision.decide(found.map(RecordStore.Stored::value).orElseGet(() -> ModelRecord.empty(model)));
            if (next instanceof UpdateDecision.Skip skip) {
                return skip.result();
            }
            ModelRecord record = ((UpdateDecision.Write) next).next();
            switch (records.write(key, record, found)) {
                case RecordStore.Outcome.Written<ModelRecord> written -> {
                    return new UpdateResult.Applied(written.stored().value());
                }
                case RecordStore.Outcome.Conflict<ModelRecord> conflict -> found = conflict.current();
            }
        }
    }
}
