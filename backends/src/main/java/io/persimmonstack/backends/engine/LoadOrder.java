package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Order to load a base model or an adapter onto its loaded base.
 *
 * @param base base model
 * @param adapter adapter to load, empty to load the base model
 * @param fence fencing number of the orderer
 * @param source where to take the checkpoint from
 */
public record LoadOrder(ModelVersion base, Optional<String> adapter, long fence, CheckpointPlace source) {
    /** Returns the order to load a base model. */
    public static LoadOrder ofBase(ModelVersion base, long fence, CheckpointPlace source) {
        return new LoadOrder(base, Optional.empty(), fence, source);
    }

    /** Returns the order to load an adapter from the weight store. */
    public static LoadOrder ofAdapter(ModelVersion base, String adapter, long fence) {
        return new LoadOrder(base, Optional.of(adapter), fence, CheckpointPlace.REMOTE);
    }
}
