package io.persimmonstack.standin.weights;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tracks the peak use of the weight store by all engines, to compare it with the limits of the store. Thread-safe. */
final class WeightStoreUsage {
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /** Start times of the loads within the last window. */
    private final Deque<Long> recentStartsNanos = new ArrayDeque<>();

    private int activeLoads;
    private int activeAdapters;
    private int peakLoads;
    private int peakAdapters;
    /** Highest number of load starts within a window. */
    private int peakLoadStarts;

    /** JSON object of the weight store among the targets in the host list's {@code GET /ledger}. */
    record Body(
            String store,
            int mostLoadsAtOnce,
            int fullSpeedLoads,
            int mostLoadsBegunInOneSecond,
            double loadsPerSecond,
            int mostAdaptersAtOnce,
            int adaptersInFlight) {}

    synchronized void loadStarted(long nowNanos) {
        peakLoads = Math.max(peakLoads, ++activeLoads);
        recentStartsNanos.add(nowNanos);
        while (nowNanos - recentStartsNanos.peek() >= WINDOW_NANOS) {
            recentStartsNanos.remove();
        }
        peakLoadStarts = Math.max(peakLoadStarts, recentStartsNanos.size());
    }

    synchronized void loadEnded() {
        activeLoads--;
    }

    synchronized void adapterStarted() {
        peakAdapters = Math.max(peakAdapters, ++activeAdapters);
    }

    synchronized void adapterEnded() {
        activeAdapters--;
    }

    synchronized Body toBody(WeightStoreSettings settings) {
        return new Body(
                "weight-store",
                peakLoads,
                settings.fullSpeedLoads(),
                peakLoadStarts,
                settings.loadsPerSecond(),
                peakAdapters,
                settings.adaptersInFlight());
    }
}
