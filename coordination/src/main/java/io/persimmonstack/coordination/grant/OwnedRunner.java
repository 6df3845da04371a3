package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Set;

/**
 * Immutable snapshot of a runner that this process owns.
 *
 * @param runner name of the runner
 * @param epoch fencing token to send with each order
 * @param slots model versions that may be loaded on the runner
 * @param phase which orders the owner may send
 */
public record OwnedRunner(String runner, long epoch, Set<ModelVersion> slots, Phase phase) {
    /** Copies the slots. */
    public OwnedRunner {
        slots = Set.copyOf(slots);
    }

    /** Stage of an ownership, which determines the orders that the owner may send. */
    public enum Phase {
        /** The runner record names this process, but not all slot entries carry its epoch yet: no orders. */
        ADOPTING,
        /** Only the first order with the new epoch may be sent, which fences the predecessor. */
        FENCING,
        /** All orders for models in the slots may be sent. */
        READY,
        /** A hand-over is being recorded: no orders. */
        HANDING_OVER
    }

    /** Returns whether the owner may order loads and unloads of models in the slots. */
    public boolean mayOrder() {
        return phase == Phase.READY;
    }
}
