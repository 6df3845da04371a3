package io.persimmonstack.standin.weights;

/** Estimate of one load, written by the load and read by the state. */
public final class LoadProgress {
    private volatile long readyInMs;
    private volatile boolean cancelled;

    /** Returns the estimated time left, in milliseconds. */
    public long readyInMs() {
        return readyInMs;
    }

    /** Ends the load early. */
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
