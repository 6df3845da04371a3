package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.ModelRecord;
import io.persimmonstack.coordination.grant.RunnerRecord;
import io.persimmonstack.coordination.grant.SlotEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.runtime.event.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Looks up which runners hold a slot of a model, and their owners, in the key-value store. Announced states may
 * predate a change of owner, the records do not. Caches the result, and reads each model version at most once a second.
 * Thread-safe.
 */
final class SlotHolders {
    private static final EventLog LOG = EventLog.of(SlotHolders.class);
    private static final int MAX_HOLDERS = 2;
    private static final long MIN_READ_INTERVAL_NANOS = 1_000_000_000L;
    private final GrantReader grantReader;
    private final TimeSource time;
    private final Map<ModelVersion, Lookup> lookups = new ConcurrentHashMap<>();

    /**
     * Runner that holds a slot of the model.
     *
     * @param runner name of the runner
     * @param owner node that owns the runner according to its record
     */
    record Holder(String runner, String owner) {}

    private record Lookup(List<Holder> holders, long readAtNanos) {}

    private SlotHolders(GrantReader grantReader, TimeSource time) {
        this.grantReader = grantReader;
        this.time = time;
    }

    static SlotHolders of(GrantReader grantReader, TimeSource time) {
        return new SlotHolders(grantReader, time);
    }

    /** Returns at most {@value #MAX_HOLDERS} slot holders of a model version, none if the read failed. */
    List<Holder> of(ModelVersion model) {
        return lookups.compute(
                        model, (key, lookup) -> isRecent(lookup) ? lookup : new Lookup(lookUp(model), time.nanoTime()))
                .holders();
    }

    private boolean isRecent(Lookup lookup) {
        return lookup != null && time.nanoTime() - lookup.readAtNanos() < MIN_READ_INTERVAL_NANOS;
    }

    private List<Holder> lookUp(ModelVersion model) {
        try {
            return readHolders(model);
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, "all", "lookup of the slot holders of " + model, e.getMessage());
            return List.of();
        }
    }

    private List<Holder> readHolders(ModelVersion model) throws KvException {
        List<String> runners = grantReader.model(model.model()).map(ModelRecord::entries).orElse(List.of()).stream()
                .filter(entry -> entry.version().equals(model.version()))
                .map(SlotEntry::runner)
                .limit(MAX_HOLDERS)
                .toList();
        List<Holder> holders = new ArrayList<>();
        for (String runner : runners) {
            Optional<RunnerRecord> record = grantReader.runner(runner);
            record.ifPresent(
                    found -> holders.add(new Holder(runner, found.owner().node())));
        }
        return holders;
    }
}
