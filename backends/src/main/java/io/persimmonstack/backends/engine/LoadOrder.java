package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Order to load a base model, or an adapter onto a base model that is already loaded.
 *
 * @param base version of the base model
 * @param adapter name of the adapter to load, empty to load the base model
 * @param fence fencing token of the sender
 * @param source where to read the checkpoint from
 */
public record LoadOrder(ModelVersion base, Optional<String> adapter, long fence, CheckpointPlace source) {
    /** Returns an order to load a base model. */
    public static LoadOrder ofBase(ModelVersion base, long fence, CheckpointPlace source) {
        return new LoadOrder(base, Optional.empty(), fence, source);
    }

    /** Returns an order to load an adapter from the weight store. */
    public static LoadOrder ofAdapter(ModelVersion base, String adapter, long fence) {
        return new LoadOrder(base, Optional.of(adapter), fence, CheckpointPlace.REMOTE);
    }
}
