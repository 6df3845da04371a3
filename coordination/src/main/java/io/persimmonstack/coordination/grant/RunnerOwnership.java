package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Runner records of one process: taking, adopting and rewriting them. The caller holds the runner's lock. */
final class RunnerOwnership {
    private final NodeIdentity self;
    private final RecordStore<RunnerRecord> records;
    private final ModelRecordUpdater modelRecords;
    private final OwnedRunnerRegistry registry;
    private final Set<String> awaitingFence = ConcurrentHashMap.newKeySet();

    RunnerOwnership(
            NodeIdentity self,
            RecordStore<RunnerRecord> records,
            ModelRecordUpdater modelRecords,
            OwnedRunnerRegistry registry) {
        this.self = self;
        this.records = records;
        this.modelRecords = modelRecords;
        this.registry = registry;
    }

    /**
     * Returns the runner if this process owns it. Where an earlier write may still take effect, writes the record again
     * first, which makes that write fail.
     */
    Optional<OwnedRunnerState> resolvePendingWrite(String runner) throws KvException {
        Optional<OwnedRunnerState> held = registry.find(runner);
        if (held.isEmpty() || held.get().writesResolved()) {
            return held;
        }
        String key = GrantKeys.runner(runner);
        Optional<RecordStore.Stored<RunnerRecord>> found = records.read(key);
        boolean stillOwner = found.filter(
                        stored -> stored.value().sameOwner(held.get().runnerRecord()))
                .isPresent();
        if (!stillOwner) {
            registry.remove(runner);
            return Optional.empty();
        }
        RunnerRecord rewritten = found.get().value().withHandingOver(false);
        return switch (records.write(key, rewritten, found)) {
            case RecordStore.Outcome.Written<RunnerRecord> written ->
                Optional.of(registry.put(held.get().withResolvedWrite(written.stored())));
            case RecordStore.Outcome.Conflict<RunnerRecord> conflict ->
                throw new KvUnavailableException(key + ": changed while it was settled");
        };
    }

    /** Takes a runner that this process does not own yet. */
    AcquireResult takeOwnership(String runner, TakeoverEvidence evidence) throws KvException {
        String key = GrantKeys.runner(runner);
        Optional<RecordStore.Stored<RunnerRecord>> found = records.read(key);
        if (found.isPresent()) {
            RunnerRecord current = found.get().value();
            Optional<String> reason = refusalReason(current, evidence);
            if (reason.isPresent()) {
                return new AcquireResult.Refused(current, reason.get());
            }
        }
        RunnerRecord next = found.map(stored -> stored.value().withNewOwner(self))
                .orElseGet(() -> new RunnerRecord(runner, self, 1, Set.of(), false));
        if (evidence instanceof TakeoverEvidence.FencedEngine) {
            awaitingFence.add(runner);
        }
        return switch (records.write(key, next, found)) {
            case RecordStore.Outcome.Conflict<RunnerRecord> conflict -> lostTo(key, conflict.current());
            case RecordStore.Outcome.Written<RunnerRecord> written ->
                adoptSlots(registry.put(OwnedRunnerState.acquired(written.stored(), awaitingFence.contains(runner))));
        };
    }

    /**
     * Notes that the engine refuses all orders of earlier epochs. Until then every acquisition of the runner waits for
     * it, also one that follows a takeover whose reply was lost.
     */
    OwnedRunnerState confirmFenced(OwnedRunnerState held) {
        if (held.phase() == OwnedRunner.Phase.FENCING) {
            awaitingFence.remove(held.runner());
        }
        return registry.put(held.withFenceConfirmed());
    }

    /** Adopts the entries of the runner's slots, unless that is done. */
    AcquireResult adoptSlots(OwnedRunnerState acquired) throws KvException {
        if (acquired.phase() != OwnedRunner.Phase.ADOPTING) {
            return new AcquireResult.Acquired(acquired.toOwnedRunner());
        }
        OwnedRunnerState held = acquired;
        for (ModelVersion slot : acquired.runnerRecord().sortedSlots()) {
            switch (modelRecords.adoptEntry(held.runner(), slot, held.epoch())) {
                case ModelRecordUpdater.UpdateResult.Applied applied -> held = held.withIncluded(slot);
                case ModelRecordUpdater.UpdateResult.Superseded newerOwner -> {
                    registry.remove(held.runner());
                    String key = GrantKeys.runner(held.runner());
                    return lostTo(key, records.read(key));
                }
                case ModelRecordUpdater.UpdateResult.CapReached full -> held = held.withExcluded(slot);
                case ModelRecordUpdater.UpdateResult.StaleConfiguration stale -> held = held.withExcluded(slot);
            }
        }
        return new AcquireResult.Acquired(registry.put(held.withSlotsAdopted()).toOwnedRunner());
    }

    /**
     * Writes the record of an owned runner.
     *
     * @param before what holds again if the write provably had no effect
     * @param whilePending what holds until the outcome is known
     * @param next the record to write
     * @return the runner, or empty where another process owns it
     */
    Optional<OwnedRunnerState> writeRecord(OwnedRunnerState before, OwnedRunnerState whilePending, RunnerRecord next)
            throws KvException {
        registry.put(whilePending.withUnresolvedWrite());
        try {
            switch (records.write(GrantKeys.runner(next.runner()), next, Optional.of(before.stored()))) {
                case RecordStore.Outcome.Written<RunnerRecord> written -> {
                    return Optional.of(registry.put(whilePending.withResolvedWrite(written.stored())));
                }
                case RecordStore.Outcome.Conflict<RunnerRecord> conflict -> {
                    registry.remove(next.runner());
                    return Optional.empty();
                }
            }
        } catch (KvUnavailableException e) {
            registry.put(before);
            throw e;
        }
    }

    private Optional<String> refusalReason(RunnerRecord current, TakeoverEvidence evidence) {
        if (current.handingOver() || current.owner().equals(self)) {
            return Optional.empty();
        }
        return switch (evidence) {
            case TakeoverEvidence.FencedEngine fencedEngine -> Optional.empty();
            case TakeoverEvidence.HandedOver handedOver ->
                Optional.of("owner " + current.owner() + " has not handed over epoch " + current.epoch());
            case TakeoverEvidence.PredecessorGone gone ->
                gone.predecessor().equals(current.owner())
                        ? Optional.empty()
                        : Optional.of("owner is " + current.owner() + ", evidence names " + gone.predecessor());
        };
    }

    private static AcquireResult lostTo(String key, Optional<RecordStore.Stored<RunnerRecord>> current)
            throws KvException {
        if (current.isEmpty()) {
            throw new KvCorruptException(key + ": expected a runner record, found none");
        }
        return new AcquireResult.Lost(current.get().value());
    }
}
