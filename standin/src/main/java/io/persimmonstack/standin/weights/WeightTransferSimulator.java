package io.persimmonstack.standin.weights;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Time that loads take within the limits of the store, which all engines of the process share. */
public final class WeightTransferSimulator {
    private static final double MS_PER_SECOND = 1_000;
    private static final long MAX_STEP_MS = 5;
    private final WeightStoreSettings settings;
    private final AtomicInteger activeLoads = new AtomicInteger();
    private final AtomicInteger activeAdapters = new AtomicInteger();
    private final WeightStoreUsage usage = new WeightStoreUsage();
    private volatile double slowdown = 1;
    private volatile boolean down;
    private long nextStartNanos = System.nanoTime();

    private WeightTransferSimulator(WeightStoreSettings settings) {
        this.settings = settings;
    }

    /** Returns a store with the given limits. */
    public static WeightTransferSimulator of(WeightStoreSettings settings) {
        return new WeightTransferSimulator(settings);
    }

    /** Returns the settings with the catalogue. */
    public WeightStoreSettings settings() {
        return settings;
    }

    /** Returns the most use of the store at once so far. */
    public Record ledger() {
        return usage.toBody(settings);
    }

    void setSlowdown(double factor) {
        slowdown = Math.max(1, factor);
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    /** Blocks for as long as fetching a checkpoint from the store takes. */
    public void awaitFetch(long bytes, LoadProgress progress, double durationFactor) throws InterruptedException {
        usage.loadStarted(System.nanoTime());
        try {
            awaitLoadRate();
            double fullSpeedMs = bytes * MS_PER_SECOND / settings.bytesPerSecond();
            awaitTransfer(fullSpeedMs * durationFactor, activeLoads, settings.fullSpeedLoads(), progress);
        } finally {
            usage.loadEnded();
        }
    }

    /** Blocks for as long as fetching an adapter takes. */
    public void awaitAdapterFetch(LoadProgress progress, double durationFactor) throws InterruptedException {
        usage.adapterStarted();
        try {
            awaitTransfer(settings.adapterMs() * durationFactor, activeAdapters, settings.adaptersInFlight(), progress);
        } finally {
            usage.adapterEnded();
        }
    }

    /** Blocks for as long as reading bytes at a local speed takes. */
    public static void awaitLocalRead(long bytes, long bytesPerSecond, LoadProgress progress, double durationFactor)
            throws InterruptedException {
        double leftMs = bytes * MS_PER_SECOND / bytesPerSecond * durationFactor;
        while (leftMs > 0 && !progress.isCancelled()) {
            progress.setEstimate(leftMs);
            leftMs -= sleepStep(leftMs);
        }
    }

    private void awaitTransfer(double fullSpeedMs, AtomicInteger activeTransfers, int fullSpeedTransfers, LoadProgress progress)
            throws InterruptedException {
        activeTransfers.incrementAndGet();
        try {
            double leftMs = fullSpeedMs;
            while (leftMs > 0 && !progress.isCancelled()) {
                double stretchFactor = slowdown * Math.max(1, activeTransfers.get() / (double) fullSpeedTransfers);
                progress.setEstimate(leftMs * stretchFactor);
                double passedMs = sleepStep(leftMs * stretchFactor);
                leftMs -= down ? 0 : passedMs / stretchFactor;
            }
        } finally {
            activeTransfers.decrementAndGet();
        }
    }

    private static double sleepStep(double leftMs) throws InterruptedException {
        long startNanos = System.nanoTime();
        Thread.sleep(Math.max(1, Math.min(MAX_STEP_MS, (long) leftMs)));
        return (System.nanoTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private void awaitLoadRate() throws InterruptedException {
        long waitNanos;
        synchronized (this) {
            long now = System.nanoTime();
            long start = Math.max(now, nextStartNanos);
            nextStartNanos = start + (long) (TimeUnit.SECONDS.toNanos(1) / settings.loadsPerSecond());
            waitNanos = start - now;
        }
        TimeUnit.NANOSECONDS.sleep(waitNanos);
    }
}
