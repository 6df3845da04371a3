package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.List;
import java.util.Map;

/**
 * Everything that the plan for one service depends on.
 *
 * @param engine what its runners can hold
 * @param runners all its runners
 * @param demands demand by model and adapter
 * @param unmetMs for how long each model that no runner holds has been asked for, in milliseconds
 * @param storeLoads loads from the weight store in progress over all runners
 * @param storeLoadAllowed whether the rate of the weight store allows one more load now
 * @param runnersStable whether the runners have been the same for a while, so that all copies are known
 */
record ServiceState(
        Engine engine,
        List<RunnerState> runners,
        List<FleetDemand> demands,
        Map<String, Long> unmetMs,
        int storeLoads,
        boolean storeLoadAllowed,
        boolean runnersStable) {
    /** Returns this state with what is known of models that have been asked for in vain. */
    ServiceState withUnmet(Map<String, Long> otherUnmetMs) {
        return new ServiceState(engine, runners, demands, otherUnmetMs, storeLoads, storeLoadAllowed, runnersStable);
    }
}
