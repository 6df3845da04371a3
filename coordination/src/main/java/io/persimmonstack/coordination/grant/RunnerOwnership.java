package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Takes over, adopts and rewrites the records of the runners that one process owns. The caller must hold the runner's
 * lock.
 */
final class RunnerOwnership {
    private final NodeIdentity self;
    private final RecordStore<RunnerRecord> records;
    private final ModelRecordUpdater modelRecords;
    private final OwnedRunnerRegistry registry;
    /** Runners that this process tried to take over by fencing and whose engine has not confirmed the new epoch yet. */
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
     * Returns the runner, or empty if this process does not own it. If an earlier write of the record may still take
     * effect, first writes the record again, which makes the earlier write fail its revision check.
     *
     * @throws KvException if the service did not answer; the earlier write may still take effect
     */
    Optional<OwnedRunnerState> resolvePendingWrite(String runner) throws KvException {
        Optional<OwnedRunnerState> state = registry.find(runner);
        if (state.isEmpty() || state.get().writesResolved()) {
            return state;
        }
        String key = GrantKeys.runner(runner);
        Optional<RecordStore.Stored<RunnerRecord>> found = records.read(key);
        boolean stillOwner = found.filter(
                        stored -> stored.value().sameOwner(state.get().runnerRecord()))
                .isPresent();
        if (!stillOwner) {
            registry.remove(runner);
            return Optional.empty();
        }
        RunnerRecord rewritten = found.get().value().withHandingOver(false);
        return switch (records.write(key, rewritten, found)) {
            case RecordStore.Outcome.Written<RunnerRecord> written ->
                Optional.of(registry.put(state.get().withResolvedWrite(written.stored())));
            case RecordStore.Outcome.Conflict<RunnerRecord> conflict ->
                throw new KvUnavailableException(key + ": changed while a pending write was resolved");
        };
    }

    /** Acquires a runner that this process does not own yet, if it is free or the evidence allows a takeover. */
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
     * Records that the engine refuses all orders of earlier epochs. Until this call every acquisition of the runner,
     * including one that follows a takeover whose reply was lost, ends in phase FENCING.
     */
    OwnedRunnerState confirmFenced(OwnedRunnerState state) {
        if (state.phase() == OwnedRunner.Phase.FENCING) {
            awaitingFence.remove(state.runner());
        }
        return registry.put(state.withFenceConfirmed());
    }

    /** Rewrites the entries of the runner's slots with the new epoch, unless the runner has left phase ADOPTING. */
    AcquireResult adoptSlots(OwnedRunnerState acquired) throws KvException {
        if (acquired.phase() != OwnedRunner.Phase.ADOPTING) {
            return new AcquireResult.Acquired(acquired.toOwnedRunner());
        }
        OwnedRunnerState state = acquired;
        for (ModelVersion slot : acquired.runnerRecord().sortedSlots()) {
            switch (modelRecords.adoptEntry(state.runner(), slot, state.epoch())) {
                case ModelRecordUpdater.UpdateResult.Applied applied -> state = state.withIncluded(slot);
                case ModelRecordUpdater.UpdateResult.Superseded newerOwner -> {
                    registry.remove(state.runner());
                    String key = GrantKeys.runner(state.runner());
                    return lostTo(key, records.read(key));
                }
                case ModelRecordUpdater.UpdateResult.CapReached full -> state = state.withExcluded(slot);
                case ModelRecordUpdater.UpdateResult.StaleConfiguration stale -> state = state.withExcluded(slot);
            }
        }
        return new AcquireResult.Acquired(registry.put(state.withSlotsAdopted()).toOwnedRunner());
    }

    /**
     * Writes the record of an owned runner.
     *
     * @param before state to restore if the write certainly had no effect
     * @param whilePending state until the outcome of the write is known
     * @param next the record to write
     * @return the runner, or empty if another process owns it
     * @throws KvException if the service did not answer
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

    /** Returns why the evidence does not allow a takeover, or empty if it does. */
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

    /** Returns the result of a lost race for the runner; fails if its record has disappeared. */
    private static AcquireResult lostTo(String key, Optional<RecordStore.Stored<RunnerRecord>> current)
            throws KvException {
        if (current.isEmpty()) {
            throw new KvCorruptException(key + ": expected a runner record, found none");
        }
        return new AcquireResult.Lost(current.get().value());
    }
}
