package io.persimmonstack.standin.weights;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.runtime.settings.Setting;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the weight store.
 *
 * @param port TCP port, 0 for any free port
 * @param loadsPerSecond number of checkpoint loads that may start each second
 * @param fullSpeedLoads number of concurrent checkpoint loads that run at full speed; with more, all slow down
 * @param adaptersInFlight number of concurrent adapter loads that run at full speed; with more, all slow down
 * @param bytesPerSecond transfer rate of one checkpoint load at full speed
 * @param adapterMs duration of one adapter load at full speed, in milliseconds
 * @param weights catalogue of checkpoints and adapters
 */
public record WeightStoreSettings(
        @Setting(min = 0, max = 65_535) int port,
        @Setting(min = 0, fallback = "3") double loadsPerSecond,
        @Setting(min = 1, fallback = "4") int fullSpeedLoads,
        @Setting(min = 1, fallback = "30") int adaptersInFlight,
        @Setting(min = 1) long bytesPerSecond,
        @Setting(min = 1, fallback = "7") int adapterMs,
        List<WeightSettings> weights) {
    /**
     * Catalogue entry of a checkpoint or adapter.
     *
     * @param model name of the model
     * @param version name of the version
     * @param adapter name of the adapter, absent for the checkpoint of the base model
     * @param bytes size in the store, in bytes
     * @param memoryBytes accelerator memory that it needs once loaded, in bytes
     */
    public record WeightSettings(
            String model,
            String version,
            Optional<String> adapter,
            @Setting(min = 1) long bytes,
            @Setting(min = 1) long memoryBytes) {}

    /** Returns the catalogue entry of a base checkpoint, or of one of its adapters if an adapter is given. */
    public Optional<WeightSettings> find(ModelVersion base, Optional<String> adapter) {
        return weights.stream()
                .filter(weight -> weight.model().equals(base.model())
                        && weight.version().equals(base.version())
                        && weight.adapter().equals(adapter))
                .findFirst();
    }
}
