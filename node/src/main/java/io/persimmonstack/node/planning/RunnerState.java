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
 * @param known whether its state is known, so that it can be ordered
 * @param idle whether it is loading and unloading no model
 * @param leaving whether it takes no new work
 * @param models models that it holds, by name
 * @param fresh models loaded so lately that their waiting requests may not have begun
 * @param coming model that it is loading
 * @param adaptersComing adapters that it is loading
 * @param inMemory models with a copy in its host memory
 * @param onDisk models with a copy on its disk
 * @param uses requests in progress, by model or adapter
 * @param slots requests that it runs at once
 */
record RunnerState(
        String id,
        String zone,
        boolean known,
        boolean idle,
        boolean leaving,
        Map<String, HeldModel> models,
        Set<String> fresh,
        Optional<String> coming,
        Set<ModelRef> adaptersComing,
        Set<String> inMemory,
        Set<String> onDisk,
        Map<ModelRef, Integer> uses,
        int slots) {

    int requests() {
        return uses.values().stream().mapToInt(Integer::intValue).sum();
    }

    int requestsOf(String model) {
        return uses.entrySet().stream()
                .filter(use -> use.getKey().model().equals(model))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Returns the share of its places that are taken. */
    double load() {
        return (double) requests() / Math.max(1, slots);
    }

    boolean holds(String model) {
        return models.containsKey(model);
    }

    boolean holds(ModelRef adapter) {
        return holds(adapter.model()) && models.get(adapter.model()).adapters().contains(adapter.adapter());
    }

    boolean loads(String model) {
        return coming.filter(model::equals).isPresent();
    }

    /** Returns the adapters that it holds or is loading. */
    int adapters() {
        int held = models.values().stream()
                .mapToInt(model -> model.adapters().size())
                .sum();
        return held + adaptersComing.size();
    }

    boolean hasCopy(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }
}
