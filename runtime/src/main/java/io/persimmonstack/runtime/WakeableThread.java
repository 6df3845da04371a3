package io.persimmonstack.runtime;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Thread that repeats an action at intervals, and at once when it is woken. If it is woken during the action, however
 * often, one more run follows at once. Thread-safe.
 */
public final class WakeableThread implements AutoCloseable {
    private final IntSupplier intervalMs;
    private final Action action;
    private final Semaphore wakeUp = new Semaphore(0);
    private final Thread thread;

    /** Action of the thread; an interrupt ends the thread, and so does an unchecked exception. */
    public interface Action {
        /**
         * Runs once.
         *
         * @throws InterruptedException if the thread is being closed
         */
        void run() throws InterruptedException;
    }

    private WakeableThread(String name, IntSupplier intervalMs, Action action) {
        this.intervalMs = intervalMs;
        this.action = action;
        this.thread = Thread.ofVirtual().name(name).unstarted(this::repeat);
    }

    /**
     * Returns a thread that is not started.
     *
     * @param name name of the thread
     * @param intervalMs returns the longest time to wait before the next run, in milliseconds
     * @param action action to repeat
     */
    public static WakeableThread of(String name, IntSupplier intervalMs, Action action) {
        return new WakeableThread(name, intervalMs, action);
    }

    /** Starts the thread, which runs until it is closed. */
    public void start() {
        thread.start();
    }

    /** Ends the wait for the next run. Never blocks. */
    public void wake() {
        if (wakeUp.availablePermits() == 0) {
            wakeUp.release();
        }
    }

    private void repeat() {
        try {
            while (true) {
                wakeUp.tryAcquire(intervalMs.getAsInt(), TimeUnit.MILLISECONDS);
                wakeUp.drainPermits();
                action.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
