package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Set;

/**
 * Status that a runner reports about itself; it may lag some hundred milliseconds behind.
 *
 * @param busy whether an order is in progress
 * @param sequence number of orders accepted so far
 * @param models models that it holds
 * @param loadingAdapters adapters that it is loading
 * @param inMemory models with a copy in its host memory
 * @param onDisk models with a copy on its disk
 */
public record RunnerStatus(
        boolean busy,
        long sequence,
        List<HeldModel> models,
        Set<ModelRef> loadingAdapters,
        Set<String> inMemory,
        Set<String> onDisk) {
    /** Copies the collections. */
    public RunnerStatus {
        models = List.copyOf(models);
        loadingAdapters = Set.copyOf(loadingAdapters);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }

    /** Returns whether this status shows the result of an order. */
    boolean reflects(PlacementOrder order) {
        return switch (order) {
            case PlacementOrder.LoadModel load -> holds(load.model());
            case PlacementOrder.UnloadModel unload -> !holds(unload.model());
            case PlacementOrder.LoadAdapter load -> holds(load.model(), load.adapter());
            case PlacementOrder.UnloadAdapter unload -> !holds(unload.model(), unload.adapter());
        };
    }

    private boolean holds(String model) {
        return models.stream().anyMatch(held -> held.name().equals(model));
    }

    private boolean holds(String model, String adapter) {
        return models.stream()
                .anyMatch(held -> held.name().equals(model) && held.adapters().contains(adapter));
    }
}
