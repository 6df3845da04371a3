package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Order to unload a base model with its adapters, or one adapter.
 *
 * @param base base model
 * @param adapter adapter to unload, empty to unload the base model
 * @param fence fencing number of the orderer
 */
public record UnloadOrder(ModelVersion base, Optional<String> adapter, long fence) {
    /** Returns the order to unload a base model. */
    public static UnloadOrder ofBase(ModelVersion base, long fence) {
        return new UnloadOrder(base, Optional.empty(), fence);
    }

    /** Returns the order to unload an adapter. */
    public static UnloadOrder ofAdapter(ModelVersion base, String adapter, long fence) {
        return new UnloadOrder(base, Optional.of(adapter), fence);
    }
}
