package io.persimmonstack.coordinator;

import io.persimmonstack.runtime.event.EventLog;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;

/** Runs periodic tasks, each on its own virtual thread, until closed. A task that throws runs again. */
public final class PeriodicTasks implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(PeriodicTasks.class);
    private static final double JITTER_FRACTION = 0.2;
    private static final long THREAD_JOIN_TIMEOUT_MS = 1_000;
    private final RandomGenerator random;
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    private PeriodicTasks(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Creates an instance without tasks.
     *
     * @param random source of the jitter of intervals
     * @return the instance
     */
    public static PeriodicTasks create(RandomGenerator random) {
        return new PeriodicTasks(random);
    }

    /**
     * Starts a task, whose first run begins at once.
     *
     * @param name name of the task in log events, and of its thread
     * @param intervalMs pause between the end of a run and the start of the next, with a jitter of 20 per cent
     * @param task code to run
     */
    public void every(String name, long intervalMs, Runnable task) {
        threads.add(Thread.ofVirtual().name(name).start(() -> run(name, intervalMs, task)));
    }

    private void run(String name, long intervalMs, Runnable task) {
        while (!closed) {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.write(CoordinatorEvent.TASK_FAILED, name, e.toString(), e);
            }
            sleepWithJitter(intervalMs);
        }
    }

    private void sleepWithJitter(long intervalMs) {
        double factor = 1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble();
        try {
            Thread.sleep((long) (intervalMs * factor));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closed = true;
        }
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
        try {
            for (Thread thread : threads) {
                thread.join(THREAD_JOIN_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
