package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this node knows of one runner process beyond its description: requests in progress, failures, and the models
 * that the leader reports. Not thread-safe; {@link Placer} guards it.
 */
final class RunnerLoadTracker {
    private static final long MISSING_MODEL_NANOS = 200_000_000L;
    private static final long FAILURE_WINDOW_NANOS = 3_000_000_000L;
    private static final long FULL_BACKOFF_NANOS = 100_000_000L;
    private static final long UNREACHABLE_BACKOFF_NANOS = 1_000_000_000L;
    private final Map<ModelRef, RunnerUsage> usageByModel = new HashMap<>();
    private final Map<ModelRef, Long> missingUntilNanos = new HashMap<>();
    private final Deque<Long> failureNanos = new ArrayDeque<>();
    private Runner runner;
    private Optional<List<HeldModel>> reportedModels = Optional.empty();
    private int localRequests;
    private long localTokens;
    private int requestsElsewhere;
    private long tokensElsewhere;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private long unreachableUntilNanos = Long.MIN_VALUE;

    RunnerLoadTracker(Runner runner) {
        this.runner = runner;
    }

    Runner runner() {
        return runner;
    }

    /** Takes a newer description; what was known of an earlier process with this identifier is forgotten. */
    void updateRunner(Runner newer) {
        if (!runner.isSameProcess(newer)) {
            missingUntilNanos.clear();
            failureNanos.clear();
            reportedModels = Optional.empty();
            avoidUntilNanos = Long.MIN_VALUE;
            unreachableUntilNanos = Long.MIN_VALUE;
        }
        runner = newer;
    }

    void applySnapshot(RunnerSnapshot snapshot) {
        reportedModels = snapshot.models().or(() -> reportedModels);
        requestsElsewhere = snapshot.requestsElsewhere();
        tokensElsewhere = snapshot.tokensElsewhere();
    }

    /** Forgets what the leader reported, for it has fallen silent. */
    void discardSnapshot() {
        reportedModels = Optional.empty();
        requestsElsewhere = 0;
        tokensElsewhere = 0;
    }

    boolean holds(ModelRef model, long nowNanos) {
        Long untilNanos = missingUntilNanos.get(model);
        if (untilNanos != null && untilNanos > nowNanos) {
            return false;
        }
        return reportedModels.orElse(runner.models()).stream()
                .anyMatch(held -> held.name().equals(model.model())
                        && (!model.hasAdapter() || held.adapters().contains(model.adapter())));
    }

    void requestStarted(ModelRef model, long requestTokens) {
        adjustUsage(model, 1, requestTokens);
    }

    void requestEnded(ModelRef model, long requestTokens) {
        adjustUsage(model, -1, -requestTokens);
    }

    private void adjustUsage(ModelRef model, int requestsDelta, long tokensDelta) {
        localRequests += requestsDelta;
        localTokens += tokensDelta;
        RunnerUsage previous = usageByModel.getOrDefault(model, new RunnerUsage(runner.id(), model, 0, 0));
        int inFlight = previous.requests() + requestsDelta;
        if (inFlight > 0) {
            usageByModel.put(model, new RunnerUsage(runner.id(), model, inFlight, previous.tokens() + tokensDelta));
        } else {
            usageByModel.remove(model);
        }
    }

    /** Returns the requests of this node in progress, by model. */
    Collection<RunnerUsage> usages() {
        return usageByModel.values();
    }

    void markModelMissing(ModelRef model, long nowNanos) {
        missingUntilNanos.put(model, nowNanos + MISSING_MODEL_NANOS);
    }

    void markFull(long nowNanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + FULL_BACKOFF_NANOS);
    }

    void markUnreachable(long nowNanos) {
        unreachableUntilNanos = nowNanos + UNREACHABLE_BACKOFF_NANOS;
        avoidUntilNanos = Math.max(avoidUntilNanos, unreachableUntilNanos);
        recordFailure(nowNanos);
    }

    void recordFailure(long nowNanos) {
        failureNanos.addLast(nowNanos);
    }

    boolean isUnreachable(long nowNanos) {
        return unreachableUntilNanos > nowNanos;
    }

    boolean isAvoided(long nowNanos) {
        return avoidUntilNanos > nowNanos;
    }

    int recentFailures(long nowNanos) {
        while (!failureNanos.isEmpty() && nowNanos - failureNanos.peekFirst() > FAILURE_WINDOW_NANOS) {
            failureNanos.removeFirst();
        }
        return failureNanos.size();
    }

    int totalRequests() {
        return localRequests + requestsElsewhere;
    }

    long totalTokens() {
        return localTokens + tokensElsewhere;
    }
}
