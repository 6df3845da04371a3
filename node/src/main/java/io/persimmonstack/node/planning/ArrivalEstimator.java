package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Estimates when models that requests wait for can be held by a runner, at the earliest: what is left of a load in
 * progress, or the time of a load from the nearest copy. Pure.
 */
final class ArrivalEstimator {
    private ArrivalEstimator() {}

    /**
     * Estimates.
     *
     * @param service name of the service
     * @param state its runners and demand
     * @param remainingLoadMs time that is left of loads in progress by model, in milliseconds
     * @return models that requests wait for and that no runner holds
     */
    static List<ModelArrival> estimate(String service, ServiceState state, Map<String, Long> remainingLoadMs) {
        List<ModelArrival> arrivals = new ArrayList<>();
        ServiceAggregates.demandByModel(state).forEach((name, demand) -> {
            Model model = state.engine().models().get(name);
            if (model != null && demand.waiting() > 0 && !ServiceAggregates.isHeld(state, name)) {
                long loadMs = remainingLoadMs.getOrDefault(name, loadMs(state, model));
                arrivals.add(new ModelArrival(service, name, loadMs));
            }
        });
        return arrivals;
    }

    private static long loadMs(ServiceState state, Model model) {
        return state.runners().stream()
                .filter(runner -> !runner.leaving())
                .map(runner -> LoadSource.of(model.name(), runner.inMemory(), runner.onDisk()))
                .mapToLong(source -> source.loadMs(model))
                .min()
                .orElse(model.storeLoadMs());
    }
}
