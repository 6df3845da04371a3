package io.persimmonstack.router.admission;

import java.util.concurrent.atomic.AtomicLong;

/** Exponentially weighted moving average of durations. Thread-safe and lock-free. */
final class Ewma {
    private static final double SAMPLE_WEIGHT = 0.2;
    private static final long NO_SAMPLES = -1;
    private final AtomicLong meanMicros = new AtomicLong(NO_SAMPLES);

    void add(long sampleMicros) {
        meanMicros.accumulateAndGet(
                sampleMicros, (mean, sample) -> mean == NO_SAMPLES ? sample : weightedMean(mean, sample));
    }

    private static long weightedMean(long mean, long sample) {
        return Math.round(mean + SAMPLE_WEIGHT * (sample - mean));
    }

    /** Returns the average in milliseconds, 0 before the first sample. */
    double meanMs() {
        return Math.max(0, meanMicros.get()) / 1_000.0;
    }

    boolean hasSamples() {
        return meanMicros.get() != NO_SAMPLES;
    }
}
