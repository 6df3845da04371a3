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
final class RunnerBook {
    private static final long LACKS_NANOS = 200_000_000L;
    private static final long FAILURE_WINDOW_NANOS = 3_000_000_000L;
    private static final long FULL_NANOS = 100_000_000L;
    private static final long UNREACHABLE_NANOS = 1_000_000_000L;
    private final Map<ModelRef, RunnerUsage> usage = new HashMap<>();
    private final Map<ModelRef, Long> lacksUntil = new HashMap<>();
    private final Deque<Long> failures = new ArrayDeque<>();
    private Runner runner;
    private Optional<List<HeldModel>> reported = Optional.empty();
    private int requests;
    private long tokens;
    private int requestsElsewhere;
    private long tokensElsewhere;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private long unreachableUntilNanos = Long.MIN_VALUE;

    RunnerBook(Runner runner) {
        this.runner = runner;
    }

    Runner runner() {
        return runner;
    }

    /** Takes a newer description; what was known of an earlier process with this identifier is forgotten. */
    void describe(Runner newer) {
        if (!runner.isSameProcess(newer)) {
            lacksUntil.clear();
            failures.clear();
            reported = Optional.empty();
            avoidUntilNanos = Long.MIN_VALUE;
            unreachableUntilNanos = Long.MIN_VALUE;
        }
        runner = newer;
    }

    void report(RunnerReport report) {
        reported = report.models().or(() -> reported);
        requestsElsewhere = report.requestsElsewhere();
        tokensElsewhere = report.tokensElsewhere();
    }

    /** Forgets what the leader reported, for it has fallen silent. */
    void forgetReport() {
        reported = Optional.empty();
        requestsElsewhere = 0;
        tokensElsewhere = 0;
    }

    boolean holds(ModelRef model, long nowNanos) {
        Long until = lacksUntil.get(model);
        if (until != null && until > nowNanos) {
            return false;
        }
        return reported.orElse(runner.models()).stream()
                .anyMatch(held -> held.name().equals(model.model())
                        && (!model.hasAdapter() || held.adapters().contains(model.adapter())));
    }

    void begin(ModelRef model, long requestTokens) {
        count(model, 1, requestTokens);
    }

    void end(ModelRef model, long requestTokens) {
        count(model, -1, -requestTokens);
    }

    private void count(ModelRef model, int requestsMore, long tokensMore) {
        requests += requestsMore;
        tokens += tokensMore;
        RunnerUsage before = usage.getOrDefault(model, new RunnerUsage(runner.id(), model, 0, 0));
        int inProgress = before.requests() + requestsMore;
        if (inProgress > 0) {
            usage.put(model, new RunnerUsage(runner.id(), model, inProgress, before.tokens() + tokensMore));
        } else {
            usage.remove(model);
        }
    }

    /** Returns the requests of this node in progress, by model. */
    Collection<RunnerUsage> usage() {
        return usage.values();
    }

    void lacks(ModelRef model, long nowNanos) {
        lacksUntil.put(model, nowNanos + LACKS_NANOS);
    }

    void full(long nowNanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + FULL_NANOS);
    }

    void unreachable(long nowNanos) {
        unreachableUntilNanos = nowNanos + UNREACHABLE_NANOS;
        avoidUntilNanos = Math.max(avoidUntilNanos, unreachableUntilNanos);
        failed(nowNanos);
    }

    void failed(long nowNanos) {
        failures.addLast(nowNanos);
    }

    boolean isUnreachable(long nowNanos) {
        return unreachableUntilNanos > nowNanos;
    }

    boolean isAvoided(long nowNanos) {
        return avoidUntilNanos > nowNanos;
    }

    int recentFailures(long nowNanos) {
        while (!failures.isEmpty() && nowNanos - failures.peekFirst() > FAILURE_WINDOW_NANOS) {
            failures.removeFirst();
        }
        return failures.size();
    }

    int requestsEverywhere() {
        return requests + requestsElsewhere;
    }

    long tokensEverywhere() {
        return tokens + tokensElsewhere;
    }
}
