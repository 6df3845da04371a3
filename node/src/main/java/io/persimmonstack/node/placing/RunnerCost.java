package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;

/**
 * Expected time of a request at a runner, in units of the usual time of such a request at an idle runner of the
 * service. It grows with the utilisation of slots or memory, whichever is higher, is lower where the runner need not
 * read the whole prompt, and is multiplied by the pace of the runner. Recent failures and another availability zone add
 * to it. Where all runners are equally fast, the order of the costs is that of the utilisation.
 */
final class RunnerCost {
    /** Cost that each recent failure adds to a runner. */
    private static final double FAILURE_PENALTY = 0.5;
    /** Share of the time of a request that its runner spends on reading the prompt. */
    private static final double PROMPT_TIME_SHARE = 0.3;
    /** Saved time of a request that does not state how much of its prompt it has in common with others. */
    private static final double DEFAULT_AFFINITY_BONUS = 0.15;

    private final Service service;
    private final ZoneCost zones;
    private final long nowNanos;

    private RunnerCost(Service service, ZoneCost zones, long nowNanos) {
        this.service = service;
        this.zones = zones;
        this.nowNanos = nowNanos;
    }

    /**
     * Returns the cost of the runners of a service.
     *
     * @param service service of the request
     * @param zones cost of a runner in another zone
     * @param nowNanos monotonic time
     */
    static RunnerCost of(Service service, ZoneCost zones, long nowNanos) {
        return new RunnerCost(service, zones, nowNanos);
    }

    /** Returns the cost of sending a request to a runner. */
    double of(RunnerLoadTracker tracker, RunnerSelector.Requirements requirements) {
        double time = 1 + utilisation(tracker) - savedTime(tracker, requirements);
        return tracker.pace() * time + FAILURE_PENALTY * tracker.recentFailures(nowNanos) + zones.of(tracker.runner());
    }

    private double utilisation(RunnerLoadTracker tracker) {
        double slotUtilisation =
                (double) tracker.totalRequests() / Math.max(1, tracker.runner().slots());
        double memoryUtilisation = service.engine()
                .map(Engine::cacheTokens)
                .map(cacheTokens -> (double) tracker.totalTokens() / cacheTokens)
                .orElse(0.0);
        return Math.max(slotUtilisation, memoryUtilisation);
    }

    private static double savedTime(RunnerLoadTracker tracker, RunnerSelector.Requirements requirements) {
        return requirements.isPreferred(tracker.runner()) ? savedTime(requirements) : 0;
    }

    /** Returns the time that the runner which probably caches the start of the prompt saves; 0 if there is none. */
    static double savedTime(RunnerSelector.Requirements requirements) {
        if (requirements.preferredRunner().isEmpty()) {
            return 0;
        }
        return requirements.promptTokens() <= 0
                ? DEFAULT_AFFINITY_BONUS
                : PROMPT_TIME_SHARE * requirements.cachedTokens() / requirements.promptTokens();
    }
}
