package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReplicaCaps;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.load.DemandTracker;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.StorePermits;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.function.Consumer;

/**
 * What the agents of owned runners share.
 *
 * @param self process that owns the runners
 * @param grants slots and ownership
 * @param engines orders and states of engines
 * @param caps caps of the configuration in force
 * @param demandTracker decides on idle models
 * @param storePermits limits of the weight store
 * @param history what was unloaded and why
 * @param time clocks
 * @param announce takes new states of runners
 * @param inspectIntervalMs time between two inspections where nothing is loading
 */
public record RunnerAgentContext(
        NodeIdentity self,
        RunnerGrants grants,
        EngineOrders engines,
        ReplicaCaps caps,
        DemandTracker demandTracker,
        StorePermits storePermits,
        LoadHistory history,
        TimeSource time,
        Consumer<RunnerStatus> announce,
        int inspectIntervalMs) {}
