package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/**
 * Estimates the earliest time at which a runner can hold a model that requests wait for: the remaining time of a load
 * in progress, or else the duration of a load from the fastest source, at a runner that carries out a load after that
 * one. The estimate is a lower bound, since requests that cannot wait so long are refused. Depends only on its
 * arguments.
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
                long loadMs = remainingMs(demand, loads).orElseGet(() -> loadMs(state, demand, model, loads));
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

    /** Returns the shortest time until a runner has loaded a model, behind the loads that are in progress. */
    private static long loadMs(
            ServiceState state, FleetDemand demand, Model model, Collection<RunnerStateTracker.LoadInProgress> loads) {
        return state.runners().stream()
                .filter(runner -> !runner.leaving() && demand.allows(runner))
                .mapToLong(runner -> {
                    LoadSource source = LoadSource.of(model.name(), runner.inMemory(), runner.onDisk());
                    long busyMs = busyMs(runner, loads);
                    long storeBusyMs = source == LoadSource.STORE ? storeBusyMs(state, loads) : 0;
                    return Math.max(busyMs, storeBusyMs) + source.loadMs(model);
                })
                .min()
                .orElse(model.storeLoadMs());
    }

    /** Returns the remaining time of the load that a runner carries out, 0 if there is none. */
    private static long busyMs(RunnerState runner, Collection<RunnerStateTracker.LoadInProgress> loads) {
        return runner.loadingModel().isEmpty()
                ? 0
                : loads.stream()
                        .filter(load -> runner.isLoading(load.model())
                                && load.softwareVersion().equals(runner.softwareVersion()))
                        .mapToLong(RunnerStateTracker.LoadInProgress::remainingMs)
                        .min()
                        .orElse(0);
    }

    /** Returns the time until the first load from the weight store ends, 0 if another one may start now. */
    private static long storeBusyMs(ServiceState state, Collection<RunnerStateTracker.LoadInProgress> loads) {
        if (state.storeLoads() < state.storeLimits().urgentLoads()) {
            return 0;
        }
        return state.runners().stream()
                .filter(runner -> runner.loadingModel()
                        .filter(loading -> !runner.hasLocalCopy(loading))
                        .isPresent())
                .mapToLong(runner -> busyMs(runner, loads))
                .min()
                .orElse(0);
    }
}
