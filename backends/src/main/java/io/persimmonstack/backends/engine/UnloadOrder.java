package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Order to unload a base model with its adapters, or a single adapter.
 *
 * @param base version of the base model
 * @param adapter name of the adapter to unload, empty to unload the base model
 * @param fence fencing token of the sender
 */
public record UnloadOrder(ModelVersion base, Optional<String> adapter, long fence) {
    /** Returns an order to unload a base model with its adapters. */
    public static UnloadOrder ofBase(ModelVersion base, long fence) {
        return new UnloadOrder(base, Optional.empty(), fence);
    }

    /** Returns an order to unload an adapter. */
    public static UnloadOrder ofAdapter(ModelVersion base, String adapter, long fence) {
        return new UnloadOrder(base, Optional.of(adapter), fence);
    }
}
