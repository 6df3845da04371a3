package io.persimmonstack.node.config;

/**
 * Model that runners of a service may hold.
 *
 * @param name name of the model
 * @param weightsMb accelerator memory of its weights, in megabytes
 * @param storeLoadMs load from the weight store, in milliseconds
 * @param diskLoadMs load from the runner's own disk, in milliseconds
 * @param memoryLoadMs load from the runner's host memory, in milliseconds
 * @param adapterMb accelerator memory of one of its adapters, in megabytes
 */
public record Model(
        String name, double weightsMb, long storeLoadMs, long diskLoadMs, long memoryLoadMs, double adapterMb) {}
