package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Sums of demand and memory over models and their adapters. */
final class ServiceAggregates {
    private ServiceAggregates() {}

    /** Returns the demand for each model by name, with that for its adapters and at all software versions included. */
    static Map<String, FleetDemand> demandByModel(ServiceState state) {
        Map<String, FleetDemand> demandByModel = new HashMap<>();
        for (FleetDemand demand : state.demands()) {
            demandByModel.merge(demand.model().model(), demand.ofModel(Optional.empty()), FleetDemand::plus);
        }
        return demandByModel;
    }

    /**
     * Returns the demand for each model, with that for its adapters included, apart by the software version that may
     * serve it.
     */
    static List<FleetDemand> demandByModelAndVersion(ServiceState state) {
        Map<Optional<String>, Map<String, FleetDemand>> demands = new HashMap<>();
        for (FleetDemand demand : state.demands()) {
            demands.computeIfAbsent(demand.softwareVersion(), version -> new HashMap<>())
                    .merge(demand.model().model(), demand.ofModel(demand.softwareVersion()), FleetDemand::plus);
        }
        return demands.values().stream()
                .flatMap(byModel -> byModel.values().stream())
                .toList();
    }

    /** Returns whether a runner that is not leaving holds a model. */
    static boolean isHeld(ServiceState state, String model) {
        return state.runners().stream().anyMatch(runner -> !runner.leaving() && runner.holds(model));
    }

    /** Returns the accelerator memory of the weights that a runner holds or is loading, in megabytes. */
    static double weightsMb(Engine engine, RunnerState runner) {
        double held = runner.models().keySet().stream()
                .mapToDouble(model -> weightsMb(engine, model))
                .sum();
        boolean loadCounted = runner.loadingModel().isEmpty()
                || runner.holds(runner.loadingModel().get());
        return loadCounted
                ? held
                : held + weightsMb(engine, runner.loadingModel().get());
    }

    /**
     * Returns the accelerator memory of the weights and adapters that a runner holds, is loading or may still load, in
     * megabytes.
     */
    static double usedMemoryMb(Engine engine, RunnerState runner) {
        double held = runner.models().values().stream()
                .mapToDouble(model ->
                        adapterMb(engine, model.name()) * model.adapters().size())
                .sum();
        double coming = Stream.concat(runner.loadingAdapters().stream(), runner.reservedAdapters().stream())
                .mapToDouble(adapter -> adapterMb(engine, adapter.model()))
                .sum();
        return weightsMb(engine, runner) + held + coming;
    }

    /**
     * Returns the size of a model's weights in megabytes; a runner's whole memory for a model that is not configured.
     */
    private static double weightsMb(Engine engine, String name) {
        Model model = engine.models().get(name);
        return model == null ? engine.memoryMb() : model.weightsMb();
    }

    /** Returns the size of an adapter of a model in megabytes; 0 for a model that is not configured. */
    static double adapterMb(Engine engine, String name) {
        Model model = engine.models().get(name);
        return model == null ? 0 : model.adapterMb();
    }
}
