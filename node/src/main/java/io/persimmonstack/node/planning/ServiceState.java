package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.List;
import java.util.Map;

/**
 * Runners and demand of one service, the input of the planning policies.
 *
 * @param engine capacity of the service's runners and the models that they may hold
 * @param runners all runners of the service
 * @param demands demand by model and adapter
 * @param unmetMs for how long there has been demand for each model that no runner holds, in milliseconds
 * @param storeLoads number of loads from the weight store in progress at all runners
 * @param storeLoadAllowed whether the rate limit of the weight store allows another load now
 * @param storeLimits limits of the concurrent loads from the weight store
 * @param runnersStable whether the set of runners has not changed for a while, so that all copies are known
 */
record ServiceState(
        Engine engine,
        List<RunnerState> runners,
        List<FleetDemand> demands,
        Map<String, Long> unmetMs,
        int storeLoads,
        boolean storeLoadAllowed,
        StoreLimits storeLimits,
        boolean runnersStable) {
    /** Creates a state with the limits that apply until the concurrency of the weight store has been learned. */
    ServiceState(
            Engine engine,
            List<RunnerState> runners,
            List<FleetDemand> demands,
            Map<String, Long> unmetMs,
            int storeLoads,
            boolean storeLoadAllowed,
            boolean runnersStable) {
        this(engine, runners, demands, unmetMs, storeLoads, storeLoadAllowed, StoreLimits.UNLEARNED, runnersStable);
    }

    /** Returns the state of a runner of the service by its identifier. */
    RunnerState runner(String id) {
        return runners.stream()
                .filter(runner -> runner.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a copy with the given durations of unmet demand. */
    ServiceState withUnmet(Map<String, Long> newUnmetMs) {
        return new ServiceState(
                engine, runners, demands, newUnmetMs, storeLoads, storeLoadAllowed, storeLimits, runnersStable);
    }
}
