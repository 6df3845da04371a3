package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Objects;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Stored ownership of a runner: the process that may send it orders, and the models that may be loaded on it.
 *
 * @param runner name of the runner
 * @param owner process that owns the runner
 * @param epoch fencing token that each order carries, raised with each change of owner
 * @param slots model versions that may be loaded on the runner
 * @param handingOver whether the owner has stopped sending orders and none is in flight, so that any node may take over
 */
public record RunnerRecord(
        String runner, NodeIdentity owner, long epoch, Set<ModelVersion> slots, boolean handingOver) {
    /** Copies the slots. */
    public RunnerRecord {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(owner, "owner");
        slots = Set.copyOf(slots);
    }

    /** Returns whether both records name the same process and epoch. */
    public boolean sameOwner(RunnerRecord other) {
        return owner.equals(other.owner) && epoch == other.epoch;
    }

    /** Returns a sorted copy of the slots, which the caller may modify. */
    public SortedSet<ModelVersion> sortedSlots() {
        return new TreeSet<>(slots);
    }

    /** Returns the record of the next owner, with the epoch raised by one. */
    RunnerRecord withNewOwner(NodeIdentity newOwner) {
        return new RunnerRecord(runner, newOwner, epoch + 1, slots, false);
    }

    RunnerRecord withSlot(ModelVersion slot) {
        Set<ModelVersion> changed = new TreeSet<>(slots);
        changed.add(slot);
        return new RunnerRecord(runner, owner, epoch, changed, false);
    }

    RunnerRecord withoutSlot(ModelVersion slot) {
        Set<ModelVersion> changed = new TreeSet<>(slots);
        changed.remove(slot);
        return new RunnerRecord(runner, owner, epoch, changed, false);
    }

    RunnerRecord withoutSlots() {
        return new RunnerRecord(runner, owner, epoch, Set.of(), false);
    }

    RunnerRecord withHandingOver(boolean value) {
        return new RunnerRecord(runner, owner, epoch, slots, value);
    }
}
