package io.persimmonstack.node.config;

import java.util.Map;

/**
 * What the model runners of a service have in common.
 *
 * @param slots requests that run at once
 * @param cacheTokens tokens of running requests and cached prompts that fit into memory
 * @param memoryMb accelerator memory for weights and adapters, in megabytes
 * @param adapterSlots adapters that fit at once
 * @param storeLoadsPerSecond loads that the weight store allows over all runners
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

    /** Returns the accelerator memory that weights may fill, leaving room for as many adapters as fit, in megabytes. */
    public double maxWeightsMb() {
        double largestAdapterMb =
                models.values().stream().mapToDouble(Model::adapterMb).max().orElse(0);
        return memoryMb - adapterSlots * largestAdapterMb;
    }
}
