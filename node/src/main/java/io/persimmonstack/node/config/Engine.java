package io.persimmonstack.node.config;

import io.persimmonstack.node.request.ModelRef;
import java.util.Map;

/**
 * Capacity of each model runner of a service, and the models that it can load.
 *
 * @param slots requests that a runner processes concurrently
 * @param cacheTokens capacity of the cache for running requests and earlier prompts, in tokens
 * @param memoryMb accelerator memory for weights and adapters, in megabytes
 * @param adapterSlots adapters that a runner can hold at the same time
 * @param storeLoadsPerSecond limit of the weight store on loads per second, over all runners
 * @param models models by name
 */
public record Engine(
        int slots,
        long cacheTokens,
        double memoryMb,
        int adapterSlots,
        double storeLoadsPerSecond,
        Map<String, Model> models) {
    /** Copies the models. */
    public Engine {
        models = Map.copyOf(models);
    }

    /** Returns whether the service has a model or an adapter of this name. */
    public boolean has(ModelRef model) {
        Model configured = models.get(model.model());
        return configured != null
                && (!model.hasAdapter() || configured.adapters().contains(model.adapter()));
    }

    /**
     * Returns the accelerator memory available for weights, in megabytes. The rest is reserved for
     * {@link #adapterSlots()} adapters of the largest size.
     */
    public double maxWeightsMb() {
        double largestAdapterMb =
                models.values().stream().mapToDouble(Model::adapterMb).max().orElse(0);
        return memoryMb - adapterSlots * largestAdapterMb;
    }
}
