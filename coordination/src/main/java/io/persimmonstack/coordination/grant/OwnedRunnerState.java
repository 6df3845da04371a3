package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.grant.OwnedRunner.Phase;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Set;
import java.util.TreeSet;

/**
 * Immutable local state of a runner that this process owns.
 *
 * @param stored the runner record as last read or written
 * @param excluded slots in the record for which no orders may be sent, because they are being given back or have no
 *     entry in their model record
 * @param phase which orders the owner may send
 * @param writesResolved whether no earlier write of this process to the record can still take effect
 * @param fenceRequired whether the engine must accept an order with this epoch before any other order is sent
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

    /** Returns the state of a runner whose record has just been written by this process. */
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

    /** Returns whether the slot is in the runner record, including excluded slots. */
    boolean hasSlot(ModelVersion slot) {
        return runnerRecord().slots().contains(slot);
    }

    /** Returns whether the runner holds the slot and orders for it may be sent. */
    boolean isUsable(ModelVersion slot) {
        return hasSlot(slot) && !excluded.contains(slot);
    }

    /** Returns the state after all slot entries have been adopted: FENCING if fencing is required, otherwise READY. */
    OwnedRunnerState withSlotsAdopted() {
        return withPhase(fenceRequired ? Phase.FENCING : Phase.READY);
    }

    /** Returns the state after the engine has accepted an order with this epoch. */
    OwnedRunnerState withFenceConfirmed() {
        return phase == Phase.FENCING
                ? new OwnedRunnerState(stored, excluded, Phase.READY, writesResolved, false)
                : this;
    }

    OwnedRunnerState withPhase(Phase next) {
        return new OwnedRunnerState(stored, excluded, next, writesResolved, fenceRequired);
    }

    /** Returns the state while a write of the record may take effect without this process knowing. */
    OwnedRunnerState withUnresolvedWrite() {
        return new OwnedRunnerState(stored, excluded, phase, false, fenceRequired);
    }

    /** Returns the state after the record was written; phase HANDING_OVER changes back to READY. */
    OwnedRunnerState withResolvedWrite(RecordStore.Stored<RunnerRecord> written) {
        Phase next = phase == Phase.HANDING_OVER ? Phase.READY : phase;
        return new OwnedRunnerState(written, excluded, next, true, fenceRequired);
    }

    /** Returns the state in which no orders may be sent for the slot. */
    OwnedRunnerState withExcluded(ModelVersion slot) {
        Set<ModelVersion> changed = new TreeSet<>(excluded);
        changed.add(slot);
        return new OwnedRunnerState(stored, changed, phase, writesResolved, fenceRequired);
    }

    /** Returns the state in which no orders may be sent for any slot. */
    OwnedRunnerState withAllExcluded() {
        return new OwnedRunnerState(stored, runnerRecord().slots(), phase, writesResolved, fenceRequired);
    }

    /** Returns the state in which orders may be sent for the slot. */
    OwnedRunnerState withIncluded(ModelVersion slot) {
        Set<ModelVersion> changed = new TreeSet<>(excluded);
        changed.remove(slot);
        return new OwnedRunnerState(stored, changed, phase, writesResolved, fenceRequired);
    }

    /** Returns the public snapshot, without the excluded slots. */
    OwnedRunner toOwnedRunner() {
        Set<ModelVersion> usable = new TreeSet<>(runnerRecord().slots());
        usable.removeAll(excluded);
        return new OwnedRunner(runner(), epoch(), usable, phase);
    }
}
