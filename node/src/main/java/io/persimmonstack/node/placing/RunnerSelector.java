package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.request.ModelRef;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the runner for one request: among those that may run it, the one with the smallest share of its places taken,
 * with a preference for runners that have kept the beginning of the prompt, that are near and that have not failed.
 */
final class RunnerSelector {
    private static final double FAILURE_PENALTY = 0.5;
    private static final double OTHER_ZONE_PENALTY = 0.02;
    private static final double PROMPT_AFFINITY_BONUS = 0.15;
    private static final double USABLE_MEMORY_SHARE = 0.92;
    private final Service service;
    private final String zone;
    private final long nowNanos;

    private RunnerSelector(Service service, String zone, long nowNanos) {
        this.service = service;
        this.zone = zone;
        this.nowNanos = nowNanos;
    }

    static RunnerSelector of(Service service, String zone, long nowNanos) {
        return new RunnerSelector(service, zone, nowNanos);
    }

    /**
     * Chooses a runner with a free place.
     *
     * @param trackers all runners of the service
     * @param requirements what the request needs
     */
    Optional<RunnerLoadTracker> choose(Collection<RunnerLoadTracker> trackers, Requirements requirements) {
        return trackers.stream()
                .filter(tracker -> canRun(tracker, requirements))
                .filter(tracker -> hasCapacity(tracker, requirements.expectedTokens()))
                .min(Comparator.comparingDouble(tracker -> cost(tracker, requirements)));
    }

    /**
     * What a request needs of its runner.
     *
     * @param model model asked for, absent for plain services
     * @param tokens tokens that it will probably occupy
     * @param excludedRunners runners that it was sent to before
     * @param preferredRunner runner that probably keeps the beginning of its prompt
     */
    record Requirements(
            Optional<ModelRef> model,
            long expectedTokens,
            Set<String> excludedRunners,
            Optional<String> preferredRunner) {}

    private boolean canRun(RunnerLoadTracker tracker, Requirements requirements) {
        return !tracker.runner().leaving()
                && !requirements.excludedRunners().contains(tracker.runner().id())
                && !tracker.isAvoided(nowNanos)
                && requirements
                        .model()
                        .map(model -> tracker.holds(model, nowNanos))
                        .orElse(true);
    }

    private boolean hasCapacity(RunnerLoadTracker tracker, long expectedTokens) {
        if (tracker.totalRequests() >= slots(tracker)) {
            return false;
        }
        long capacityTokens = service.engine().map(Engine::cacheTokens).orElse(Long.MAX_VALUE);
        return tracker.totalRequests() == 0
                || tracker.totalTokens() + expectedTokens <= capacityTokens * USABLE_MEMORY_SHARE;
    }

    private int slots(RunnerLoadTracker tracker) {
        return Math.max(1, tracker.runner().slots());
    }

    private double cost(RunnerLoadTracker tracker, Requirements requirements) {
        double slotUtilisation = (double) tracker.totalRequests() / slots(tracker);
        double memoryUtilisation = service.engine()
                .map(engine -> (double) tracker.totalTokens() / engine.cacheTokens())
                .orElse(0.0);
        double zonePenalty = tracker.runner().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        double affinityBonus = requirements
                        .preferredRunner()
                        .filter(tracker.runner().id()::equals)
                        .isPresent()
                ? PROMPT_AFFINITY_BONUS
                : 0;
        return Math.max(slotUtilisation, memoryUtilisation)
                + FAILURE_PENALTY * tracker.recentFailures(nowNanos)
                + zonePenalty
                - affinityBonus;
    }
}
