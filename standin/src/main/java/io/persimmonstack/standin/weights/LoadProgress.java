package io.persimmonstack.standin.weights;

/**
 * Remaining time of one load. The loading thread writes it, requests for the state of the engine read it. Thread-safe.
 */
public final class LoadProgress {
    private volatile long readyInMs;
    private volatile boolean cancelled;

    /** Returns the estimated remaining time, in milliseconds. */
    public long readyInMs() {
        return readyInMs;
    }

    /** Makes the load end at its next step. */
    public void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void setEstimate(double remainingMs) {
        readyInMs = (long) Math.ceil(remainingMs);
    }
}
