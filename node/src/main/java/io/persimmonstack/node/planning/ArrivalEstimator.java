package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/**
 * Estimates the earliest time at which a runner can hold a model that requests wait for: the remaining time of a load
 * in progress, or else the duration of a load from the fastest source. Depends only on its arguments.
 */
final class ArrivalEstimator {
    private ArrivalEstimator() {}

    /**
     * Returns an estimate for each model that requests wait for and that no runner holds which they may use.
     *
     * @param service name of the service
     * @param state runners and demand of the service
     * @param loads loads in progress at the runners of the service
     */
    static List<ModelArrival> estimate(
            String service, ServiceState state, Collection<RunnerStateTracker.LoadInProgress> loads) {
        List<ModelArrival> arrivals = new ArrayList<>();
        for (FleetDemand demand : ServiceAggregates.demandByModelAndVersion(state)) {
            String name = demand.model().model();
            Model model = state.engine().models().get(name);
            if (model != null && demand.waiting() > 0 && !isHeld(state, demand)) {
                long loadMs = remainingMs(demand, loads).orElseGet(() -> loadMs(state, demand, model));
                arrivals.add(new ModelArrival(service, name, loadMs, demand.softwareVersion()));
            }
        }
        return arrivals;
    }

    private static boolean isHeld(ServiceState state, FleetDemand demand) {
        return state.runners().stream()
                .anyMatch(runner ->
                        !runner.leaving() && runner.holds(demand.model().model()) && demand.allows(runner));
    }

    private static OptionalLong remainingMs(FleetDemand demand, Collection<RunnerStateTracker.LoadInProgress> loads) {
        return loads.stream()
                .filter(load -> load.model().equals(demand.model().model()))
                .filter(load -> demand.softwareVersion()
                        .map(load.softwareVersion()::equals)
                        .orElse(true))
                .mapToLong(RunnerStateTracker.LoadInProgress::remainingMs)
                .min();
    }

    private static long loadMs(ServiceState state, FleetDemand demand, Model model) {
        return state.runners().stream()
                .filter(runner -> !runner.leaving() && demand.allows(runner))
                .map(runner -> LoadSource.of(model.name(), runner.inMemory(), runner.onDisk()))
                .mapToLong(source -> source.loadMs(model))
                .min()
                .orElse(model.storeLoadMs());
    }
}
