package io.persimmonstack.node.planning;

/**
 * Learns how many loads the weight store serves concurrently at full speed, from the durations of loads and the number
 * of loads in progress meanwhile. Loads beyond that number share its rate, so that each takes longer. Callers pass the
 * time. Thread-safe.
 */
final class StoreConcurrency {
    /** Factor of the configured duration from which a load counts as slowed down by others. */
    private static final double SLOW_FACTOR = 1.25;
    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.3;

    private static final int MAX_LOADS = 16;
    /** Loads in progress above the limit that models with a high request rate may add; they show if it is too low. */
    private static final int URGENT_LOADS = 1;

    private static final double NANOS_PER_MS = 1e6;

    private int active;
    /** Sum of the durations of all loads so far, in load nanoseconds. */
    private double loadNanos;

    private long changedNanos;
    /** Learned number of loads at full speed; 0 if not learned yet. */
    private double learnedLoads;

    /** Load in progress: monotonic time of its start, and the sum of the durations of all loads up to then. */
    record Load(long startNanos, double loadNanos) {}

    /** Records that a load has started. */
    synchronized Load begin(long nowNanos) {
        advance(nowNanos);
        active++;
        return new Load(nowNanos, loadNanos);
    }

    /**
     * Records the end of a load.
     *
     * @param load the load
     * @param configuredMs its configured duration at full speed, in milliseconds
     * @param completed whether the model has been loaded, so that the duration counts
     * @param nowNanos current monotonic time
     * @return whether this has changed the limits
     */
    synchronized boolean end(Load load, long configuredMs, boolean completed, long nowNanos) {
        advance(nowNanos);
        active--;
        StoreLimits before = limits();
        double elapsedNanos = nowNanos - load.startNanos();
        if (completed && elapsedNanos > 0 && configuredMs > 0) {
            learn((loadNanos - load.loadNanos()) / elapsedNanos, elapsedNanos / NANOS_PER_MS / configuredMs);
        }
        return !before.equals(limits());
    }

    private void advance(long nowNanos) {
        if (active > 0) {
            loadNanos += (double) active * (nowNanos - changedNanos);
        }
        changedNanos = nowNanos;
    }

    /**
     * Learns from one load.
     *
     * @param loads mean number of loads in progress during the load, itself included
     * @param slowdown its duration relative to that at full speed
     */
    private void learn(double loads, double slowdown) {
        if (slowdown > SLOW_FACTOR) {
            double measured = Math.max(1, loads / slowdown);
            learnedLoads = learnedLoads == 0 ? measured : learnedLoads + NEWEST_WEIGHT * (measured - learnedLoads);
        } else if (loads > (learnedLoads == 0 ? StoreLimits.UNLEARNED.loads() : learnedLoads)) {
            learnedLoads = loads;
        }
    }

    /** Returns the limits of concurrent loads. */
    synchronized StoreLimits limits() {
        if (learnedLoads == 0) {
            return StoreLimits.UNLEARNED;
        }
        int loads = (int) Math.clamp(Math.round(learnedLoads), 1, MAX_LOADS);
        return new StoreLimits(loads, loads + URGENT_LOADS);
    }
}
