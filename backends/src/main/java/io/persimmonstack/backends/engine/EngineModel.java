package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * Base model on an engine.
 *
 * @param version base model
 * @param state state of the base model
 * @param memoryBytes accelerator memory that it takes, with its adapters
 * @param adapters adapters loaded onto it
 * @param readyInMs estimated time until it is loaded, in milliseconds; 0 where it is
 * @param failure why the last load failed, if it did
 */
public record EngineModel(
        ModelVersion version,
        ModelState state,
        long memoryBytes,
        List<String> adapters,
        long readyInMs,
        Optional<String> failure) {
    /** Copies the adapters. */
    public EngineModel {
        adapters = List.copyOf(adapters);
    }
}
