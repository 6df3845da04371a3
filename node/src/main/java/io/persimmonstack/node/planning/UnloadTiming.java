package io.persimmonstack.node.planning;

/**
 * Learns how long a runner takes to unload a model that no request uses, from the answers to the orders that follow. An
 * order that a runner refuses costs more than a slightly later one, so the time is chosen such that about one order in
 * sixteen is refused. Thread-safe.
 */
final class UnloadTiming {
    private static final int INITIAL_MS = 60;
    private static final int MIN_MS = 20;
    private static final int MAX_MS = 250;
    /** Increase after a refused order. */
    private static final int REFUSED_STEP_MS = 15;
    /** Decrease after an accepted order. */
    private static final int ACCEPTED_STEP_MS = 1;

    private int unloadMs = INITIAL_MS;

    /** Returns the time from the acceptance of an unload to the next order, in milliseconds. */
    synchronized int unloadMs() {
        return unloadMs;
    }

    /**
     * Records the answer to the first order after an unload of a model without requests.
     *
     * @param refused whether the unload was still in progress
     */
    synchronized void record(boolean refused) {
        int changedMs = refused ? unloadMs + REFUSED_STEP_MS : unloadMs - ACCEPTED_STEP_MS;
        unloadMs = Math.clamp(changedMs, MIN_MS, MAX_MS);
    }
}
