package io.persimmonstack.backends.weights;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Checkpoint or adapter in the weight store.
 *
 * @param base base model
 * @param adapter name of the adapter, empty for the checkpoint of the base model
 * @param bytes size in the store
 * @param memoryBytes accelerator memory that it takes once loaded
 */
public record Weight(ModelVersion base, Optional<String> adapter, long bytes, long memoryBytes) {}
