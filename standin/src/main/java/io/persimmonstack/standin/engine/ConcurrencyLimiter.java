package io.persimmonstack.standin.engine;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Places of the permits batch and the bounded queue before it. */
final class ConcurrencyLimiter {
    private final Semaphore permits;
    private final int maxConcurrent;
    private final int maxQueued;
    private final AtomicInteger admitted = new AtomicInteger();

    ConcurrencyLimiter(int maxConcurrent, int maxQueued) {
        this.permits = new Semaphore(maxConcurrent, true);
        this.maxConcurrent = maxConcurrent;
        this.maxQueued = maxQueued;
    }

    /** Waits for a place; returns false at once where the queue is full. */
    boolean acquire() throws InterruptedException {
        if (admitted.incrementAndGet() > maxConcurrent + maxQueued) {
            admitted.decrementAndGet();
            return false;
        }
        try {
            permits.acquire();
            return true;
        } catch (InterruptedException e) {
            admitted.decrementAndGet();
            throw e;
        }
    }

    void release() {
        permits.release();
        admitted.decrementAndGet();
    }

    int inFlight() {
        return maxConcurrent - permits.availablePermits();
    }

    int queued() {
        return Math.max(0, admitted.get() - inFlight());
    }
}
