package io.persimmonstack.router.snapshot;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * Holds the current {@link FleetView} and notifies listeners of changes. Thread-safe. Reading the view is lock-free;
 * only threads that wait for a change use a lock.
 */
public final class FleetViews {
    private final AtomicReference<FleetView> current = new AtomicReference<>(FleetView.empty());
    private final AtomicLong replacements = new AtomicLong();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    private FleetViews() {}

    /** Returns a holder of the empty view. */
    public static FleetViews create() {
        return new FleetViews();
    }

    /** Returns the current view. */
    public FleetView current() {
        return current.get();
    }

    /**
     * Replaces the view, wakes waiting threads and runs the listeners on the calling thread.
     *
     * @param view newer view
     */
    public void replace(FleetView view) {
        current.set(view);
        replacements.incrementAndGet();
        lock.lock();
        try {
            changed.signalAll();
        } finally {
            lock.unlock();
        }
        listeners.forEach(Runnable::run);
    }

    /** Returns how many times the view has been replaced. */
    public long replacements() {
        return replacements.get();
    }

    /**
     * Registers a listener for changes of the view.
     *
     * @param listener run after each change, on the thread that replaced the view
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Blocks until the current view satisfies a condition. Not to be called by threads that handle requests.
     *
     * @param condition condition to wait for, tested after each change while the lock is held
     * @param timeoutMs longest wait in milliseconds
     * @return whether the condition was satisfied in time
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public boolean await(Predicate<FleetView> condition, long timeoutMs) throws InterruptedException {
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        lock.lock();
        try {
            while (!condition.test(current.get())) {
                if (remainingNanos <= 0) {
                    return false;
                }
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
            return true;
        } finally {
            lock.unlock();
        }
    }
}
