package io.persimmonstack.router.admission;

import io.persimmonstack.router.snapshot.Target;
import java.util.concurrent.atomic.AtomicBoolean;

/** Capacity for one request at one target, held until closed. Closing it again has no effect. Thread-safe. */
public final class Reservation implements AutoCloseable {
    private final Target target;
    private final TargetState state;
    private final Runnable afterRelease;
    private final long reservedAtNanos = System.nanoTime();
    private final AtomicBoolean released = new AtomicBoolean();

    Reservation(Target target, TargetState state, Runnable afterRelease) {
        this.target = target;
        this.state = state;
        this.afterRelease = afterRelease;
    }

    /** Returns the target. */
    public Target target() {
        return target;
    }

    /** Returns what this router has observed of the target. */
    public TargetState state() {
        return state;
    }

    /**
     * Returns whether the target itself may be unresponsive, and not only a connection to it: it has completed no
     * answer to this router since the reservation was made.
     */
    public boolean targetSilent() {
        return !state.succeededSince(reservedAtNanos);
    }

    @Override
    public void close() {
        if (released.compareAndSet(false, true)) {
            state.release();
            afterRelease.run();
        }
    }
}
