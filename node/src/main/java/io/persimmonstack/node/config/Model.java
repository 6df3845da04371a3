package io.persimmonstack.node.config;

/**
 * Size and load times of a model.
 *
 * @param name name of the model
 * @param weightsMb accelerator memory that its weights occupy, in megabytes
 * @param storeLoadMs time to load it from the weight store, in milliseconds
 * @param diskLoadMs time to load it from the runner's disk, in milliseconds
 * @param memoryLoadMs time to load it from the runner's host memory, in milliseconds
 * @param adapterMb accelerator memory that each of its adapters occupies, in megabytes
 * @param adapters names of its adapters
 */
public record Model(
        String name,
        double weightsMb,
        long storeLoadMs,
        long diskLoadMs,
        long memoryLoadMs,
        double adapterMb,
        AdapterNames adapters) {
    /** Creates a model without adapters. */
    public Model(
            String name, double weightsMb, long storeLoadMs, long diskLoadMs, long memoryLoadMs, double adapterMb) {
        this(name, weightsMb, storeLoadMs, diskLoadMs, memoryLoadMs, adapterMb, AdapterNames.none());
    }
}
