package io.persimmonstack.standin.ledger;

import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.standin.StandinEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records the requests that ran on the engines and services of the process, and the violations: guarantees of the
 * system under test that did not hold. Thread-safe.
 */
public final class RunTracker {
    private static final EventLog LOG = EventLog.of(RunTracker.class);
    private final Map<String, Run> firstRunByKey = new HashMap<>();
    private final Set<String> requestIds = new TreeSet<>();
    private final List<String> violations = new ArrayList<>();
    private long runCount;

    private RunTracker() {}

    /** Returns a tracker without runs. */
    public static RunTracker create() {
        return new RunTracker();
    }

    /**
     * Execution of a request on one target.
     *
     * @param target name of the engine or service instance
     * @param requestId request identifier, if the request has one
     * @param idempotencyKey idempotency key, if the request has one
     */
    public record Run(String target, Optional<String> requestId, Optional<String> idempotencyKey) {
        private String describe() {
            return target + " as " + requestId.orElse("(no request identifier)");
        }
    }

    /** Records a run, and a violation if a request with the same idempotency key has already run. */
    public synchronized void recordRun(Run run) {
        runCount++;
        run.requestId().ifPresent(requestIds::add);
        if (run.idempotencyKey().isEmpty()) {
            return;
        }
        String key = run.idempotencyKey().get();
        Run earlier = firstRunByKey.putIfAbsent(key, run);
        if (earlier != null) {
            recordViolation("idempotency key '" + key + "' ran on " + earlier.describe() + " and on " + run.describe());
        }
    }

    /** Records and logs a violation. */
    public synchronized void recordViolation(String text) {
        violations.add(text);
        LOG.write(StandinEvent.VIOLATION, text);
    }

    /** Returns the number of runs. */
    public synchronized long runCount() {
        return runCount;
    }

    /** Returns the identifiers of the requests that ran, sorted and without duplicates. */
    public synchronized List<String> requestIds() {
        return List.copyOf(requestIds);
    }

    /** Returns the number of distinct idempotency keys that ran. */
    public synchronized int idempotencyKeyCount() {
        return firstRunByKey.size();
    }

    /** Returns the violations in the order in which they were recorded. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
