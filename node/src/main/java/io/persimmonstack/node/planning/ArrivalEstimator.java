package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.placing.ModelArrival;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Estimates the earliest time at which a runner can hold a model that requests wait for: the remaining time of a load
 * in progress, or else the duration of a load from the fastest source. Depends only on its arguments.
 */
final class ArrivalEstimator {
    private ArrivalEstimator() {}

    /**
     * Returns an estimate for each model that requests wait for and that no runner holds.
     *
     * @param service name of the service
     * @param state runners and demand of the service
     * @param remainingLoadMs remaining time of the loads in progress by model, in milliseconds
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
