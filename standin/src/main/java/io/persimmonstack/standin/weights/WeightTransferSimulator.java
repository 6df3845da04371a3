package io.persimmonstack.standin.weights;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates how long transfers of weights take. All engines of the process share one simulator, and so the limits of
 * the weight store. Thread-safe.
 */
public final class WeightTransferSimulator {
    private static final double MS_PER_SECOND = 1_000;
    /** Longest step of a transfer; bounds how late it notices a cancellation or a changed rate. */
    private static final long MAX_STEP_MS = 5;

    private final WeightStoreSettings settings;
    private final AtomicInteger activeLoads = new AtomicInteger();
    private final AtomicInteger activeAdapters = new AtomicInteger();
    private final WeightStoreUsage usage = new WeightStoreUsage();
    private volatile double slowdown = 1;
    private volatile boolean down;
    /** Earliest start of the next checkpoint load. */
    private long nextStartNanos = System.nanoTime();

    private WeightTransferSimulator(WeightStoreSettings settings) {
        this.settings = settings;
    }

    /** Returns a simulator of a store with the given limits. */
    public static WeightTransferSimulator of(WeightStoreSettings settings) {
        return new WeightTransferSimulator(settings);
    }

    /** Returns the limits and the catalogue of the store. */
    public WeightStoreSettings settings() {
        return settings;
    }

    /** Returns the peak use of the store so far, for the ledger. */
    public Record ledger() {
        return usage.toBody(settings);
    }

    /** Sets the factor by which every transfer from the store takes longer; values below 1 count as 1. */
    void setSlowdown(double factor) {
        slowdown = Math.max(1, factor);
    }

    /** Sets whether the store is down; transfers make no progress meanwhile. */
    void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Blocks for as long as the transfer of a checkpoint from the store takes, or until it is cancelled. A cancellation
     * does not shorten the wait for the load rate.
     *
     * @param bytes size of the checkpoint
     * @param progress receives the estimated remaining time
     * @param durationFactor multiplier of the duration, 1 for none
     * @throws InterruptedException if the thread is interrupted
     */
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

    /**
     * Blocks for as long as the transfer of an adapter from the store takes, or until it is cancelled.
     *
     * @param progress receives the estimated remaining time
     * @param durationFactor multiplier of the duration, 1 for none
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitAdapterFetch(LoadProgress progress, double durationFactor) throws InterruptedException {
        usage.adapterStarted();
        try {
            awaitTransfer(settings.adapterMs() * durationFactor, activeAdapters, settings.adaptersInFlight(), progress);
        } finally {
            usage.adapterEnded();
        }
    }

    /**
     * Blocks for as long as a read from the host's disk or memory takes, or until it is cancelled. Local reads do not
     * use the store.
     *
     * @param bytes size of the checkpoint
     * @param bytesPerSecond read rate
     * @param progress receives the estimated remaining time
     * @param durationFactor multiplier of the duration, 1 for none
     * @throws InterruptedException if the thread is interrupted
     */
    public static void awaitLocalRead(long bytes, long bytesPerSecond, LoadProgress progress, double durationFactor)
            throws InterruptedException {
        double remainingMs = bytes * MS_PER_SECOND / bytesPerSecond * durationFactor;
        while (remainingMs > 0 && !progress.isCancelled()) {
            progress.setEstimate(remainingMs);
            remainingMs -= sleepStep(remainingMs);
        }
    }

    /** Lets a transfer progress in small steps, at a rate that depends on the number of active transfers. */
    private void awaitTransfer(
            double fullSpeedMs, AtomicInteger activeTransfers, int fullSpeedTransfers, LoadProgress progress)
            throws InterruptedException {
        activeTransfers.incrementAndGet();
        try {
            double remainingMs = fullSpeedMs;
            while (remainingMs > 0 && !progress.isCancelled()) {
                double stretchFactor = slowdown * Math.max(1, activeTransfers.get() / (double) fullSpeedTransfers);
                progress.setEstimate(remainingMs * stretchFactor);
                double elapsedMs = sleepStep(remainingMs * stretchFactor);
                remainingMs -= down ? 0 : elapsedMs / stretchFactor;
            }
        } finally {
            activeTransfers.decrementAndGet();
        }
    }

    /** Sleeps for one step and returns the time that passed, in milliseconds. */
    private static double sleepStep(double remainingMs) throws InterruptedException {
        long startNanos = System.nanoTime();
        Thread.sleep(Math.max(1, Math.min(MAX_STEP_MS, (long) remainingMs)));
        return (System.nanoTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    /** Waits until the rate limit of the store lets the next load start. */
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
