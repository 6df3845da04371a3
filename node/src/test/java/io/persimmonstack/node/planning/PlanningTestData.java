package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runner states and demand for tests of the planning policies. */
final class PlanningTestData {
    static final int SLOTS = 10;
    static final double MODEL_MB = 30_000;
    static final double RUNNER_MB = 70_000;
    static final int ADAPTER_SLOTS = 2;

    private PlanningTestData() {}

    /** Returns an engine whose runners have memory for two models and two adapters. */
    static Engine engine(String... models) {
        Map<String, Model> byName = new HashMap<>();
        for (String model : models) {
            byName.put(model, new Model(model, MODEL_MB, 6_000, 1_000, 400, 50));
        }
        return new Engine(SLOTS, 100_000, RUNNER_MB, ADAPTER_SLOTS, 3, byName);
    }

    static HeldModel heldModel(String model, String... adapters) {
        return new HeldModel(model, 1, Set.of(adapters));
    }

    /** Returns an idle runner that holds models and has copies of them in host memory and on disk. */
    static RunnerState runner(String id, HeldModel... models) {
        RunnerStateBuilder builder = RunnerStateBuilder.runner(id);
        Set<String> names = new HashSet<>();
        for (HeldModel model : models) {
            builder.holding(model);
            names.add(model.name());
        }
        return builder.copies(names, names).build();
    }

    static RunnerState withRequests(RunnerState runner, Map<ModelRef, Integer> requestsByModel) {
        return RunnerStateBuilder.from(runner).requests(requestsByModel).build();
    }

    /** Returns the runner with copies of the given models on disk and none in host memory. */
    static RunnerState withDiskCopies(RunnerState runner, String... models) {
        return RunnerStateBuilder.from(runner).copies(Set.of(), Set.of(models)).build();
    }

    static RunnerState loadingModel(RunnerState runner, String model) {
        return RunnerStateBuilder.from(runner).loading(model).build();
    }

    static RunnerState withLoadingAdapter(RunnerState runner, ModelRef adapter) {
        return RunnerStateBuilder.from(runner).loadingAdapters(Set.of(adapter)).build();
    }

    /** Returns demand with waiting requests. */
    static FleetDemand waitingDemand(String model, int requests) {
        return new FleetDemand(new ModelRef(model, ""), requests, 100, 3_000, 0.1);
    }

    /** Returns demand without waiting requests. */
    static FleetDemand demand(String model, double perSecond) {
        return new FleetDemand(new ModelRef(model, ""), 0, 0, 0, perSecond);
    }

    static ServiceState state(Engine engine, List<RunnerState> runners, FleetDemand... demands) {
        return new ServiceState(engine, runners, List.of(demands), Map.of(), 0, true, true);
    }

    static RunnerState withRecentlyLoaded(RunnerState runner, String... models) {
        return RunnerStateBuilder.from(runner).recentlyLoaded(Set.of(models)).build();
    }
}
