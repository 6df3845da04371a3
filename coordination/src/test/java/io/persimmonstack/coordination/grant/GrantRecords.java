package io.persimmonstack.coordination.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.FakeCodec;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Set;
import java.util.TreeSet;

/** Stored grant records under test, with checks of their invariants. */
final class GrantRecords {
    final InMemoryKvStore store = InMemoryKvStore.create();
    final GrantCodecs codecs = new GrantCodecs(new FakeCodec<>(), new FakeCodec<>());
    private final RecordStore<RunnerRecord> runners = new RecordStore<>(store, codecs.runners());
    private final RecordStore<ModelRecord> models = new RecordStore<>(store, codecs.models());
    private final int cap;

    GrantRecords(int cap) {
        this.cap = cap;
    }

    /**
     * Checks that no model has more slots than its cap, and that each slot of a runner has an entry in its model
     * record.
     */
    void checkInvariants() throws KvException {
        for (RecordStore.Stored<ModelRecord> stored : models.readAll(GrantKeys.MODEL_PREFIX)) {
            assertTrue(stored.value().entries().size() <= cap, () -> "over the cap: " + stored.value());
        }
        Set<String> modelSlots = modelRecordSlots();
        for (String slot : runnerRecordSlots()) {
            assertTrue(
                    modelSlots.contains(slot),
                    () -> slot + " is in its runner record, entries exist for " + modelSlots);
        }
    }

    /** Checks that the model records have entries for exactly the slots in the runner records. */
    void checkNoOrphanedEntries() throws KvException {
        assertEquals(runnerRecordSlots(), modelRecordSlots());
    }

    private Set<String> runnerRecordSlots() throws KvException {
        Set<String> result = new TreeSet<>();
        for (RecordStore.Stored<RunnerRecord> stored : runners.readAll(GrantKeys.RUNNER_PREFIX)) {
            stored.value().slots().forEach(slot -> result.add(stored.value().runner() + " " + slot));
        }
        return result;
    }

    private Set<String> modelRecordSlots() throws KvException {
        Set<String> result = new TreeSet<>();
        for (RecordStore.Stored<ModelRecord> stored : models.readAll(GrantKeys.MODEL_PREFIX)) {
            for (SlotEntry entry : stored.value().entries()) {
                result.add(entry.runner() + " " + ModelVersion.of(stored.value().model(), entry.version()));
            }
        }
        return result;
    }
}
