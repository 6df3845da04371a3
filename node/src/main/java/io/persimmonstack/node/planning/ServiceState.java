package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.List;

/**
 * Everything that the plan for one service depends on.
 *
 * @param engine what its runners can hold
 * @param runners all its runners
 * @param demands demand by model and adapter
 * @param storeLoads loads from the weight store in progress over all runners
 * @param storeLoadAllowed whether the rate of the weight store allows one more load now
 * @param settled whether the runners have been the same for a while, so that all copies are known
 */
record ServiceState(
        Engine engine,
        List<RunnerState> runners,
        List<DemandState> demands,
        int storeLoads,
        boolean storeLoadAllowed,
        boolean settled) {}
