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
import java.util.OptionalLong;

/**
 * Tracks one runner process for the placement of requests: requests in progress, recent failures, and the models that
 * the leader reports. Not thread-safe; guarded by the lock of {@link Placer}.
 */
final class RunnerLoadTracker {
    /** Time for which a model counts as missing after the runner was found not to hold it. */
    private static final long MISSING_MODEL_NANOS = 200_000_000L;
    /** Age up to which a failure counts as recent. */
    private static final long FAILURE_WINDOW_NANOS = 3_000_000_000L;

    /** Time for which a runner is avoided after it rejected a request for lack of capacity. */
    private static final long FULL_BACKOFF_NANOS = 100_000_000L;
    /** Time for which a runner is avoided and reported as unreachable after a failed connection. */
    private static final long UNREACHABLE_BACKOFF_NANOS = 1_000_000_000L;

    /** Time over which requests return to a runner after a pause that it asked for. */
    private static final long RAMP_NANOS = 500_000_000L;

    private final Map<ModelRef, RunnerUsage> usageByModel = new HashMap<>();
    private final Map<ModelRef, Long> missingUntilNanos = new HashMap<>();
    private final Deque<Long> failureNanos = new ArrayDeque<>();
    private Runner runner;
    private Optional<List<HeldModel>> reportedModels = Optional.empty();
    private int localRequests;
    private long localTokens;
    private RequestsElsewhere elsewhere = new RequestsElsewhere();
    private long avoidUntilNanos = Long.MIN_VALUE;
    private long unreachableUntilNanos = Long.MIN_VALUE;
    private OptionalLong quietUntilNanos = OptionalLong.empty();
    private OptionalLong servesRestsUntilNanos = OptionalLong.empty();
    private boolean replaced;
    private OptionalLong outgoingUntilNanos = OptionalLong.empty();
    private double pace = 1;
    private MemoryShare memoryShare = new MemoryShare();
    private final MemoryClaim memoryClaim = new MemoryClaim();

    RunnerLoadTracker(Runner runner) {
        this.runner = runner;
    }

    Runner runner() {
        return runner;
    }

    /**
     * Replaces the runner's entry; for a new process, discards failures, backoffs, pace and the leader's snapshot of
     * the earlier one.
     */
    void updateRunner(Runner newer) {
        if (!runner.isSameProcess(newer)) {
            missingUntilNanos.clear();
            failureNanos.clear();
            discardSnapshot();
            avoidUntilNanos = Long.MIN_VALUE;
            unreachableUntilNanos = Long.MIN_VALUE;
            quietUntilNanos = OptionalLong.empty();
            replaced = false;
            memoryShare = new MemoryShare();
            memoryClaim.withdraw();
            elsewhere = new RequestsElsewhere();
        }
        runner = newer;
    }

    /** Applies a snapshot of the leader; one without models leaves the models as they are. */
    void applySnapshot(RunnerSnapshot snapshot) {
        reportedModels = snapshot.models().or(() -> reportedModels);
        elsewhere.update(snapshot.requestsElsewhere(), snapshot.tokensElsewhere());
    }

    /**
     * Records that another process has taken the runner's place, of which this node has no entry yet: nothing that is
     * known of the runner, such as models and software version, is true of it.
     */
    void markReplaced() {
        replaced = true;
    }

    /** Discards the leader's snapshot, so that only the runner's own entry in the store counts. */
    void discardSnapshot() {
        reportedModels = Optional.empty();
        elsewhere.update(0, 0);
        pace = 1;
    }

    /**
     * Returns whether the runner holds a model or adapter, by the leader's snapshot or else by its own entry, unless
     * it was found missing recently.
     */
    boolean holds(ModelRef model, long nowNanos) {
        Long untilNanos = missingUntilNanos.get(model);
        if (untilNanos != null && untilNanos > nowNanos) {
            return false;
        }
        return models().stream()
                .anyMatch(held -> held.name().equals(model.model())
                        && (!model.hasAdapter() || held.adapters().contains(model.adapter())));
    }

    /** Returns the models of the runner, by the leader's snapshot or else by its own entry. */
    List<HeldModel> models() {
        return reportedModels.orElse(runner.models());
    }

    void requestStarted(ModelRef model, long requestTokens) {
        memoryClaim.withdraw();
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

    /** Returns the requests of this node in progress at the runner, by model. */
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

    /** Records until when the runner wants no requests, by its own word. */
    void pauseUntil(long untilNanos) {
        quietUntilNanos = OptionalLong.of(untilNanos);
    }

    /** Sets until when the runner's software version counts as on its way out; empty if it does not. */
    void updateOutgoing(OptionalLong untilNanos) {
        outgoingUntilNanos = untilNanos;
    }

    /** Returns whether the runner's software version is on its way out. */
    boolean isOutgoing(long nowNanos) {
        return outgoingUntilNanos.isPresent() && outgoingUntilNanos.getAsLong() - nowNanos > 0;
    }

    /** Sets until when the runner, once it is leaving, takes the rest of streams; empty if it takes nothing. */
    void updateServesRests(OptionalLong untilNanos) {
        servesRestsUntilNanos = untilNanos;
    }

    /**
     * Returns whether the runner may be sent requests. That it is shutting down outweighs a pause that it asked for,
     * which outweighs a backoff after failures. Requests in progress at the runner go on in any case.
     */
    Availability availability(long nowNanos) {
        if (runner.leaving()) {
            boolean takesRests = servesRests(nowNanos) && !isQuiet(nowNanos) && !isAvoided(nowNanos);
            return takesRests ? new Availability.RestsOnly() : new Availability.Leaving();
        }
        if (isQuiet(nowNanos)) {
            return new Availability.Quiet(quietUntilNanos.getAsLong());
        }
        return isAvoided(nowNanos) ? new Availability.BackingOff() : new Availability.Open();
    }

    /**
     * Returns whether the rest of a stream can be taken at any time from now on: by a runner of its version that stays,
     * or by a leaving one that still takes the rest of streams.
     */
    boolean canTakeRest(RunnerFilter filter, long nowNanos) {
        return runner.leaving() ? filter.allows(runner) && servesRests(nowNanos) : filter.allowsVersionOf(runner);
    }

    private boolean servesRests(long nowNanos) {
        return servesRestsUntilNanos.isPresent() && servesRestsUntilNanos.getAsLong() - nowNanos > 0;
    }

    private boolean isQuiet(long nowNanos) {
        return quietUntilNanos.isPresent() && quietUntilNanos.getAsLong() - nowNanos > 0;
    }

    private boolean isAvoided(long nowNanos) {
        return replaced || avoidUntilNanos > nowNanos;
    }

    /**
     * Returns the number of requests that the runner may have in progress. After a pause that it asked for, the number
     * rises to all its slots over {@link #RAMP_NANOS}.
     */
    int slotLimit(long nowNanos) {
        int slots = Math.max(1, runner.slots());
        long sinceQuietNanos = quietUntilNanos.isPresent() ? nowNanos - quietUntilNanos.getAsLong() : RAMP_NANOS;
        return sinceQuietNanos >= RAMP_NANOS
                ? slots
                : (int) Math.min(slots, 1 + slots * Math.max(0, sinceQuietNanos) / RAMP_NANOS);
    }

    int recentFailures(long nowNanos) {
        while (!failureNanos.isEmpty() && nowNanos - failureNanos.peekFirst() > FAILURE_WINDOW_NANOS) {
            failureNanos.removeFirst();
        }
        return failureNanos.size();
    }

    /** Returns the number of requests in progress at the runner, from this node and others. */
    int totalRequests() {
        return localRequests + elsewhere.requests();
    }

    /** Returns the estimated number of tokens of all requests in progress at the runner. */
    long totalTokens() {
        return localTokens + elsewhere.tokens();
    }

    /** Returns the requests of other nodes at the runner. */
    RequestsElsewhere elsewhere() {
        return elsewhere;
    }

    /** Returns the share of this node in the free memory of the runner. */
    MemoryShare memoryShare() {
        return memoryShare;
    }

    /** Returns the claim of this node to memory of the runner. */
    MemoryClaim memoryClaim() {
        return memoryClaim;
    }

    /** Sets how long the runner takes for a request, compared with the other runners of its service. */
    void updatePace(double ratio) {
        pace = ratio > 0 ? ratio : 1;
    }

    /** Returns how long the runner takes for a request, compared with the other runners of its service: 1 as long. */
    double pace() {
        return pace;
    }
}
