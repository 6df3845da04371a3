package io.persimmonstack.node.planning;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

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

    /** Loads in progress that must take longer than configured until their durations so far lower the limits. */
    private static final int MIN_OVERDUE_LOADS = 2;

    private final Set<Load> active = new HashSet<>();
    /** Sum of the durations of all loads so far, in load nanoseconds. */
    private double loadNanos;

    private long changedNanos;
    /** Learned number of loads at full speed; 0 if not learned yet. */
    private double learnedLoads;

    /** Load in progress; each is equal to itself only. */
    static final class Load {
        private final long startNanos;
        /** Sum of the durations of all loads up to the start. */
        private final double loadNanosBefore;

        private final long configuredMs;

        private Load(long startNanos, double loadNanosBefore, long configuredMs) {
            this.startNanos = startNanos;
            this.loadNanosBefore = loadNanosBefore;
            this.configuredMs = configuredMs;
        }

        /** Returns the duration up to the given time relative to that at full speed. */
        private double slowdown(long nowNanos) {
            return (nowNanos - startNanos) / NANOS_PER_MS / Math.max(1, configuredMs);
        }
    }

    /**
     * Records that a load has started.
     *
     * @param configuredMs its configured duration at full speed, in milliseconds
     * @param nowNanos current monotonic time
     */
    synchronized Load begin(long configuredMs, long nowNanos) {
        advance(nowNanos);
        Load load = new Load(nowNanos, loadNanos, configuredMs);
        active.add(load);
        return load;
    }

    /**
     * Records the end of a load.
     *
     * @param load the load
     * @param completed whether the model has been loaded, so that the duration counts
     * @param nowNanos current monotonic time
     * @return whether this has changed the limits
     */
    synchronized boolean end(Load load, boolean completed, long nowNanos) {
        StoreLimits before = learnedLimits();
        advance(nowNanos);
        active.remove(load);
        if (completed && nowNanos - load.startNanos > 0) {
            learn(meanLoads(load, nowNanos), load.slowdown(nowNanos));
        }
        return !before.equals(learnedLimits());
    }

    private void advance(long nowNanos) {
        loadNanos += (double) active.size() * (nowNanos - changedNanos);
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

    /** Returns the mean number of loads in progress since the start of a load, itself included. */
    private double meanLoads(Load load, long nowNanos) {
        return (loadNanos - load.loadNanosBefore) / Math.max(1, nowNanos - load.startNanos);
    }

    /**
     * Returns the limits of concurrent loads. Loads in progress that already take longer than configured lower them, so
     * that it does not take the whole of the first slow loads to learn.
     */
    synchronized StoreLimits limits(long nowNanos) {
        advance(nowNanos);
        List<Load> overdue = active.stream()
                .filter(load -> load.slowdown(nowNanos) > SLOW_FACTOR)
                .toList();
        StoreLimits learned = learnedLimits();
        if (overdue.size() < MIN_OVERDUE_LOADS) {
            return learned;
        }
        double bound = overdue.stream()
                .mapToDouble(load -> meanLoads(load, nowNanos) / load.slowdown(nowNanos))
                .min()
                .orElse(MAX_LOADS);
        int loads = (int) Math.max(1, Math.ceil(bound));
        return loads >= learned.loads() ? learned : new StoreLimits(loads, loads + URGENT_LOADS);
    }

    private StoreLimits learnedLimits() {
        if (learnedLoads == 0) {
            return StoreLimits.UNLEARNED;
        }
        int loads = (int) Math.clamp(Math.round(learnedLoads), 1, MAX_LOADS);
        return new StoreLimits(loads, loads + URGENT_LOADS);
    }
}
