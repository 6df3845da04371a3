package io.persimmonstack.standin.engine;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits the concurrent requests of an engine and queues further ones first-come, first-served. Thread-safe. */
final class ConcurrencyLimiter {
    private final Semaphore runPermits;
    private final int maxConcurrent;
    private final int maxQueued;
    /** Requests that run or are queued. */
    private final AtomicInteger admitted = new AtomicInteger();

    ConcurrencyLimiter(int maxConcurrent, int maxQueued) {
        this.runPermits = new Semaphore(maxConcurrent, true);
        this.maxConcurrent = maxConcurrent;
        this.maxQueued = maxQueued;
    }

    /**
     * Waits until the request may run.
     *
     * @return whether the request may run; false without waiting if the queue is full
     * @throws InterruptedException if the thread is interrupted while it is queued
     */
    boolean acquire() throws InterruptedException {
        if (admitted.incrementAndGet() > maxConcurrent + maxQueued) {
            admitted.decrementAndGet();
            return false;
        }
        try {
            runPermits.acquire();
            return true;
        } catch (InterruptedException e) {
            admitted.decrementAndGet();
            throw e;
        }
    }

    /** Ends a request for which {@link #acquire()} returned true. */
    void release() {
        runPermits.release();
        admitted.decrementAndGet();
    }

    int inFlight() {
        return maxConcurrent - runPermits.availablePermits();
    }

    int queued() {
        return Math.max(0, admitted.get() - inFlight());
    }
}
