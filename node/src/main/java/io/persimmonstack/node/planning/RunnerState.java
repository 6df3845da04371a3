package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One runner as the planner sees it.
 *
 * @param id identifier
 * @param zone availability zone
 * @param stateKnown whether its state is known, so that it can be ordered
 * @param idle whether it is loading and unloading no model
 * @param leaving whether it takes no new work
 * @param models models that it holds, by name
 * @param recentlyLoaded models loaded so lately that their waiting requests may not have begun
 * @param loadingModel model that it is loading
 * @param loadingAdapters adapters that it is loading
 * @param inMemory models with a copy in its host memory
 * @param onDisk models with a copy on its disk
 * @param requestsByModel requests in progress, by model or adapter
 * @param slots requests that it runs at once
 */
record RunnerState(
        String id,
        String zone,
        boolean stateKnown,
        boolean idle,
        boolean leaving,
        Map<String, HeldModel> models,
        Set<String> recentlyLoaded,
        Optional<String> loadingModel,
        Set<ModelRef> loadingAdapters,
        Set<String> inMemory,
        Set<String> onDisk,
        Map<ModelRef, Integer> requestsByModel,
        int slots) {

    int requests() {
        return requestsByModel.values().stream().mapToInt(Integer::intValue).sum();
    }

    int requestsOf(String model) {
        return requestsByModel.entrySet().stream()
                .filter(entry -> entry.getKey().model().equals(model))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Returns the share of its places that are taken. */
    double utilisation() {
        return (double) requests() / Math.max(1, slots);
    }

    boolean holds(String model) {
        return models.containsKey(model);
    }

    boolean holds(ModelRef adapter) {
        return holds(adapter.model()) && models.get(adapter.model()).adapters().contains(adapter.adapter());
    }

    boolean isLoading(String model) {
        return loadingModel.filter(model::equals).isPresent();
    }

    /** Returns the adapters that it holds or is loading. */
    int adapterCount() {
        int held = models.values().stream()
                .mapToInt(model -> model.adapters().size())
                .sum();
        return held + loadingAdapters.size();
    }

    boolean hasLocalCopy(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }
}
