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
 * Dependencies that all agents of owned runners share.
 *
 * @param self process that owns the runners
 * @param grants grants slots and records ownership
 * @param engines sends orders to engines and reads their states
 * @param caps replica caps of the active configuration
 * @param demandTracker decides how long idle models stay loaded
 * @param storePermits permits of the weight store's limits
 * @param history records unloads and their reasons
 * @param time clocks
 * @param announce announces new states of runners to the fleet
 * @param inspectIntervalMs time between two inspections of an engine without loads or orders in flight
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
