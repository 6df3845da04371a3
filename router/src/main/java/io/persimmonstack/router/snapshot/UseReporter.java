package io.persimmonstack.router.snapshot;

import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.ModelUse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Counts the uses of models at runners and reports them to a coordinator every 2 s, so that the owners of the runners
 * know which models are idle. The counts of a report that fails are lost. Thread-safe.
 */
public final class UseReporter implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(UseReporter.class);
    private static final long INTERVAL_MS = 2_000;
    private static final int CALL_TIMEOUT_MS = 1_000;

    private record UseKey(String model, Optional<String> adapter, String runner) {}

    private record UseCount(int requests, long lastNanos) {
        UseCount plus(UseCount other) {
            return new UseCount(requests + other.requests, Math.max(lastNanos, other.lastNanos));
        }
    }

    private final CoordinatorClient coordinators;
    private final Map<UseKey, UseCount> useCounts = new ConcurrentHashMap<>();
    private final Thread thread = Thread.ofVirtual().name("use-reporter").unstarted(this::run);

    private UseReporter(CoordinatorClient coordinators) {
        this.coordinators = coordinators;
    }

    /**
     * Starts to report on a virtual thread.
     *
     * @param coordinators client for the coordinators
     * @return the reporter
     */
    public static UseReporter start(CoordinatorClient coordinators) {
        UseReporter reporter = new UseReporter(coordinators);
        reporter.thread.start();
        return reporter;
    }

    /**
     * Counts one use of a model at a runner.
     *
     * @param model name in the form {@code model@version}
     * @param adapter adapter applied to the model, if any
     * @param runner name of the runner that serves the request
     */
    public void recordUse(String model, Optional<String> adapter, String runner) {
        useCounts.merge(new UseKey(model, adapter, runner), new UseCount(1, System.nanoTime()), UseCount::plus);
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(INTERVAL_MS);
                report();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void report() {
        List<ModelUse> report = new ArrayList<>();
        for (UseKey key : useCounts.keySet()) {
            UseCount count = useCounts.remove(key);
            if (count != null) {
                report.add(toModelUse(key, count));
            }
        }
        if (report.isEmpty()) {
            return;
        }
        try {
            coordinators.callAny(CALL_TIMEOUT_MS, client -> {
                client.reportUse(report, 0);
                return true;
            });
        } catch (WireException e) {
            LOG.write(RouterEvent.COORDINATOR_FAILED, "any", e.getMessage());
        }
    }

    private static ModelUse toModelUse(UseKey key, UseCount count) {
        long agoMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - count.lastNanos());
        ModelUse use = new ModelUse(key.model(), key.runner(), count.requests(), agoMs);
        key.adapter().ifPresent(use::setAdapter);
        return use;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
