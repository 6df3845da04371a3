package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Stored slots of one model: the runners that may load it, within the replica cap.
 *
 * @param model name of the model
 * @param cap cap from the newest configuration that any writer of the record knew
 * @param entries slot entries, oldest first
 */
public record ModelRecord(String model, ReplicaCap cap, List<SlotEntry> entries) {
    /** Copies the entries. */
    public ModelRecord {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(cap, "cap");
        entries = List.copyOf(entries);
    }

    /** Returns the record of a model that has no slots yet; its configuration version is 0. */
    public static ModelRecord empty(String model) {
        return new ModelRecord(model, ReplicaCap.of(0, 0), List.of());
    }

    /** Returns the entry of the runner for the version of the model, or empty if the runner has none. */
    public Optional<SlotEntry> entry(String runner, String version) {
        return entries.stream()
                .filter(entry ->
                        entry.runner().equals(runner) && entry.version().equals(version))
                .findFirst();
    }

    /** Returns the record with the given cap if that is from a newer configuration, otherwise this record. */
    ModelRecord withNewerCap(ReplicaCap candidate) {
        return candidate.configurationVersion() > cap.configurationVersion()
                ? new ModelRecord(model, candidate, entries)
                : this;
    }

    /** Returns the record with the entry appended, or replaced in place if the slot already has one. */
    ModelRecord withEntry(SlotEntry added) {
        List<SlotEntry> changed = new ArrayList<>(entries);
        int index = indexOf(added.runner(), added.version());
        if (index < 0) {
            changed.add(added);
        } else {
            changed.set(index, added);
        }
        return new ModelRecord(model, cap, changed);
    }

    /** Returns the record without the entry of the slot. */
    ModelRecord withoutEntry(String runner, String version) {
        List<SlotEntry> changed = new ArrayList<>(entries);
        changed.removeIf(
                entry -> entry.runner().equals(runner) && entry.version().equals(version));
        return new ModelRecord(model, cap, changed);
    }

    /** Returns the slots of a runner whose entries exceed the cap; the oldest entries are kept. */
    List<ModelVersion> surplus(String runner) {
        return entries.stream()
                .skip(cap.replicas())
                .filter(entry -> entry.runner().equals(runner))
                .map(entry -> ModelVersion.of(model, entry.version()))
                .toList();
    }

    /** Returns the position of the entry of a slot, or -1 if there is none. */
    private int indexOf(String runner, String version) {
        for (int i = 0; i < entries.size(); i++) {
            SlotEntry entry = entries.get(i);
            if (entry.runner().equals(runner) && entry.version().equals(version)) {
                return i;
            }
        }
        return -1;
    }
}
