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
    /**
     * Smallest number of loads at full speed that a measurement may give. Sharing the rate of one load cannot give
     * less, except for measuring errors; such a load is slow for another reason, for example a slow runner.
     */
    private static final double MIN_MEASURED_LOADS = 0.8;
    /** Time by which a status may show the end of a load too late. */
    private static final double STATUS_LAG_MS = 300;
    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.3;

    /**
     * Increase after a load at full speed beside as many others as allowed. Without it, a limit that was learned while
     * the store was slow would stay for good where no model may use the higher limit.
     */
    private static final double FULL_SPEED_STEP = 0.1;

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

        /** Returns whether the load is slower up to the given time than the lag of the status explains. */
        private boolean isSlow(long nowNanos) {
            return (nowNanos - startNanos) / NANOS_PER_MS > SLOW_FACTOR * Math.max(1, configuredMs) + STATUS_LAG_MS;
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
            learn(load, nowNanos);
        }
        return !before.equals(learnedLimits());
    }

    private void advance(long nowNanos) {
        loadNanos += (double) active.size() * (nowNanos - changedNanos);
        changedNanos = nowNanos;
    }

    /** Learns from a load that has ended now. */
    private void learn(Load load, long nowNanos) {
        double loads = meanLoads(load, nowNanos);
        if (load.isSlow(nowNanos)) {
            double measured = loads / load.slowdown(nowNanos);
            if (measured >= MIN_MEASURED_LOADS) {
                double bounded = Math.max(1, measured);
                learnedLoads = learnedLoads == 0 ? bounded : learnedLoads + NEWEST_WEIGHT * (bounded - learnedLoads);
            }
        } else if (loads > (learnedLoads == 0 ? StoreLimits.UNLEARNED.loads() : learnedLoads)) {
            learnedLoads = loads;
        } else if (learnedLoads != 0 && Math.round(loads) >= learnedLimits().loads()) {
            learnedLoads += FULL_SPEED_STEP;
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
        List<Double> measured = active.stream()
                .filter(load -> load.isSlow(nowNanos))
                .map(load -> meanLoads(load, nowNanos) / load.slowdown(nowNanos))
                .filter(loads -> loads >= MIN_MEASURED_LOADS)
                .toList();
        StoreLimits learned = learnedLimits();
        if (measured.size() < MIN_OVERDUE_LOADS) {
            return learned;
        }
        double bound = measured.stream().min(Double::compare).orElseThrow();
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
