package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Lookups in the state of one service that would each walk all its runners, computed once for a plan. Runners that are
 * leaving hold nothing here. Not thread-safe.
 */
final class ServiceIndex {
    private final ServiceState state;
    private final double maxWeightsMb;
    private final Map<String, List<RunnerState>> holders = new HashMap<>();
    private final Set<String> loadingModels = new HashSet<>();
    private final Map<String, Double> adapterRates = new HashMap<>();
    private final Map<String, Double> freeMb = new HashMap<>();

    private ServiceIndex(ServiceState state) {
        this.state = state;
        this.maxWeightsMb = state.engine().maxWeightsMb();
        state.runners().forEach(this::addRunner);
        state.demands().stream()
                .filter(demand -> demand.model().hasAdapter())
                .forEach(demand -> adapterRates.merge(demand.model().model(), demand.perSecond(), Double::sum));
    }

    /** Returns an index of the given state. */
    static ServiceIndex of(ServiceState state) {
        return new ServiceIndex(state);
    }

    private void addRunner(RunnerState runner) {
        runner.loadingModel().ifPresent(loadingModels::add);
        if (!runner.leaving()) {
            runner.models().keySet().forEach(model -> add(holders, model, runner));
        }
    }

    private static <T> void add(Map<String, List<T>> lists, String key, T value) {
        lists.computeIfAbsent(key, ignored -> new ArrayList<>()).add(value);
    }

    private Engine engine() {
        return state.engine();
    }

    /** Returns the runners that hold a model and are not leaving. */
    List<RunnerState> holders(String model) {
        return holders.getOrDefault(model, List.of());
    }

    /** Returns the holders of a model that may serve the demand for it. */
    List<RunnerState> holders(FleetDemand demand) {
        List<RunnerState> all = holders(demand.model().model());
        return demand.softwareVersion().isEmpty()
                ? all
                : all.stream().filter(demand::allows).toList();
    }

    /** Returns whether a runner that may serve the demand for a model is loading it. */
    boolean isLoading(FleetDemand demand) {
        String model = demand.model().model();
        return isLoading(model)
                && (demand.softwareVersion().isEmpty()
                        || state.runners().stream()
                                .anyMatch(runner ->
                                        !runner.leaving() && demand.allows(runner) && runner.isLoading(model)));
    }

    /** Returns whether a runner is loading a model. */
    boolean isLoading(String model) {
        return loadingModels.contains(model);
    }

    /** Returns the models that a runner which is not leaving holds, is loading or has a copy of. */
    Set<String> availableModels() {
        Set<String> available = new HashSet<>(holders.keySet());
        state.runners().stream().filter(runner -> !runner.leaving()).forEach(runner -> {
            available.addAll(runner.inMemory());
            available.addAll(runner.onDisk());
            runner.loadingModel().ifPresent(available::add);
        });
        return available;
    }

    /** Returns the memory for weights that a runner has left, in megabytes; negative if it holds too much. */
    double freeMb(RunnerState runner) {
        return freeMb.computeIfAbsent(runner.id(), id -> maxWeightsMb - ServiceAggregates.weightsMb(engine(), runner));
    }

    /** Returns the requests per second for adapters of the models that a runner holds, as its share among holders. */
    double adapterRate(RunnerState runner) {
        return runner.models().keySet().stream()
                .mapToDouble(model -> adapterRates.getOrDefault(model, 0.0)
                        / Math.max(1, holders(model).size()))
                .sum();
    }
}
