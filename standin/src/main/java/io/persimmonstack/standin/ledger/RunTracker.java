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

/** Requests that ran, over all engines and services of the process, and the promises seen broken. */
public final class RunTracker {
    private static final EventLog LOG = EventLog.of(RunTracker.class);
    private final Map<String, Run> firstRunByKey = new HashMap<>();
    private final Set<String> requestIds = new TreeSet<>();
    private final List<String> violations = new ArrayList<>();
    private long runCount;

    private RunTracker() {}

    /** Returns an empty ledger. */
    public static RunTracker create() {
        return new RunTracker();
    }

    /**
     * One run.
     *
     * @param target name of the engine or instance
     * @param requestId request identifier, if the request bore one
     * @param idempotencyKey idempotency key, if the request bore one
     */
    public record Run(String target, Optional<String> requestId, Optional<String> idempotencyKey) {
        private String describe() {
            return target + " as " + requestId.orElse("(no request identifier)");
        }
    }

    /** Records a run and, where its idempotency key has run before, a violation. */
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

    /** Records a broken promise. */
    public synchronized void recordViolation(String text) {
        violations.add(text);
        LOG.write(StandinEvent.VIOLATION, text);
    }

    /** Returns how many requests ran. */
    public synchronized long runCount() {
        return runCount;
    }

    /** Returns the identifiers of the requests that ran. */
    public synchronized List<String> requestIds() {
        return List.copyOf(requestIds);
    }

    /** Returns how many idempotency keys ran. */
    public synchronized int idempotencyKeyCount() {
        return firstRunByKey.size();
    }

    /** Returns the promises seen broken, in order. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
