package io.persimmonstack.backends.weights;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Checkpoint of a base model, or an adapter, in the weight store.
 *
 * @param base version of the base model
 * @param adapter name of the adapter, empty for the checkpoint of the base model
 * @param bytes size in the weight store, in bytes
 * @param memoryBytes accelerator memory that it takes once loaded, in bytes
 */
public record Weight(ModelVersion base, Optional<String> adapter, long bytes, long memoryBytes) {}
