package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.grant.OwnedRunner.Phase;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Set;
import java.util.TreeSet;

/**
 * What this node knows of a runner that it owns.
 *
 * @param stored the runner record as last read or written
 * @param excluded slots in the record that may not be ordered: being given back, or without an entry in their model
 * @param phase what the owner may do
 * @param writesResolved no write of this node to the record may still take effect
 * @param fenceRequired the engine must accept an order with the epoch before anything else
 */
record OwnedRunnerState(
        RecordStore.Stored<RunnerRecord> stored,
        Set<ModelVersion> excluded,
        Phase phase,
        boolean writesResolved,
        boolean fenceRequired) {
    OwnedRunnerState {
        excluded = Set.copyOf(excluded);
    }

    static OwnedRunnerState acquired(RecordStore.Stored<RunnerRecord> stored, boolean fenceRequired) {
        return new OwnedRunnerState(stored, Set.of(), Phase.ADOPTING, true, fenceRequired);
    }

    RunnerRecord runnerRecord() {
        return stored.value();
    }

    String runner() {
        return runnerRecord().runner();
    }

    long epoch() {
        return runnerRecord().epoch();
    }

    boolean hasSlot(ModelVersion slot) {
        return runnerRecord().slots().contains(slot);
    }

    boolean isUsable(ModelVersion slot) {
        return hasSlot(slot) && !excluded.contains(slot);
    }

    OwnedRunnerState withSlotsAdopted() {
        return withPhase(fenceRequired ? Phase.FENCING : Phase.READY);
    }

    OwnedRunnerState withFenceConfirmed() {
        return phase == Phase.FENCING
                ? new OwnedRunnerState(stored, excluded, Phase.READY, writesResolved, false)
                : this;
    }

    OwnedRunnerState withPhase(Phase next) {
        return new OwnedRunnerState(stored, excluded, next, writesResolved, fenceRequired);
    }

    OwnedRunnerState withUnresolvedWrite() {
        return new OwnedRunnerState(stored, excluded, phase, false, fenceRequired);
    }

    OwnedRunnerState withResolvedWrite(RecordStore.Stored<RunnerRecord> written) {
        Phase next = phase == Phase.HANDING_OVER ? Phase.READY : phase;
        return new OwnedRunnerState(written, excluded, next, true, fenceRequired);
    }

    OwnedRunnerState withExcluded(ModelVersion slot) {
        Set<ModelVersion> changed = new TreeSet<>(excluded);
        changed.add(slot);
        return new OwnedRunnerState(stored, changed, phase, writesResolved, fenceRequired);
    }

    OwnedRunnerState withAllExcluded() {
        return new OwnedRunnerState(stored, runnerRecord().slots(), phase, writesResolved, fenceRequired);
    }

    OwnedRunnerState withIncluded(ModelVersion slot) {
        Set<ModelVersion> changed = new TreeSet<>(excluded);
        changed.remove(slot);
        return new OwnedRunnerState(stored, changed, phase, writesResolved, fenceRequired);
    }

    OwnedRunner toOwnedRunner() {
        Set<ModelVersion> usable = new TreeSet<>(runnerRecord().slots());
        usable.removeAll(excluded);
        return new OwnedRunner(runner(), epoch(), usable, phase);
    }
}
