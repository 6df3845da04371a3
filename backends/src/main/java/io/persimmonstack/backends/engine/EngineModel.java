package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * Base model on an engine, with the adapters loaded onto it.
 *
 * @param version model version
 * @param state state of the base model
 * @param memoryBytes accelerator memory used by the model and its adapters, in bytes
 * @param adapters names of the adapters loaded onto the model
 * @param readyInMs estimated time until the model is loaded, in milliseconds; 0 if it is loaded
 * @param failure why the last load failed, empty if it did not fail
 */
public record EngineModel(
        ModelVersion version,
        ModelState state,
        long memoryBytes,
        List<String> adapters,
        long readyInMs,
        Optional<String> failure) {
    /** Makes the list of adapters immutable. */
    public EngineModel {
        adapters = List.copyOf(adapters);
    }
}
