package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Optional;

/**
 * Identifies something that can be loaded: a base model at one version, or an adapter on top of it.
 *
 * @param model base model at one version
 * @param adapter name of the adapter, empty for the base model itself
 */
public record LoadKey(ModelVersion model, Optional<String> adapter) {
    private static final char SEPARATOR = '+';

    /** Returns the key of the base model. */
    public LoadKey base() {
        return new LoadKey(model, Optional.empty());
    }

    @Override
    public String toString() {
        return adapter.map(name -> model.toString() + SEPARATOR + name).orElse(model.toString());
    }
}
