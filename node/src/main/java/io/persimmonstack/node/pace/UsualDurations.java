package io.persimmonstack.node.pace;

import io.persimmonstack.coordination.BoundedMap;
import java.util.Arrays;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Running median of the durations of each kind, over all runners. The median moves by a small step towards each new
 * duration, so that a single one has little effect however long it is. Not thread-safe.
 */
final class UsualDurations {
    private static final int MAX_KEYS = 1_024;
    /** Durations after which the median counts as known. */
    private static final int MIN_DURATIONS = 7;
    /** Step of the logarithm of the median; with it, a doubling is followed within 35 durations. */
    private static final double LOG_STEP = 0.02;

    private final Map<PaceKey, Median> medians = BoundedMap.droppingLeastUsed(MAX_KEYS);

    /** Running median of the logarithms of durations. */
    private static final class Median {
        private final double[] first = new double[MIN_DURATIONS];
        private int count;
        private double log;

        private void add(double value) {
            if (count < MIN_DURATIONS) {
                first[count++] = value;
                if (count == MIN_DURATIONS) {
                    Arrays.sort(first);
                    log = first[MIN_DURATIONS / 2];
                }
                return;
            }
            log += Math.clamp(value - log, -LOG_STEP, LOG_STEP);
        }

        private boolean isKnown() {
            return count == MIN_DURATIONS;
        }
    }

    /**
     * Returns the logarithm of the ratio of a duration to the usual one, and adds the duration; empty while the usual
     * duration is not known.
     *
     * @param key kind of the duration
     * @param durationMs duration, in milliseconds
     */
    OptionalDouble add(PaceKey key, double durationMs) {
        Median median = medians.computeIfAbsent(key, ignored -> new Median());
        double value = Math.log(durationMs);
        OptionalDouble logRatio = median.isKnown() ? OptionalDouble.of(value - median.log) : OptionalDouble.empty();
        median.add(value);
        return logRatio;
    }

    /**
     * Returns the logarithm of the ratio of the beginning of a duration to the usual one; empty if the usual duration
     * is longer or not known.
     *
     * @param key kind of the duration
     * @param elapsedMs time that has passed without an answer, in milliseconds
     */
    OptionalDouble exceeded(PaceKey key, double elapsedMs) {
        Median median = medians.get(key);
        double value = Math.log(elapsedMs);
        return median != null && median.isKnown() && value > median.log
                ? OptionalDouble.of(value - median.log)
                : OptionalDouble.empty();
    }
}
