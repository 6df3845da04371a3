package io.persimmonstack.node.planning;

/** Order to one runner. */
public sealed interface PlacementOrder {
    /**
     * Returns the model that the order concerns.
     */
    String model();

    /** Loads a model's weights. */
    record LoadModel(String model) implements PlacementOrder {}

    /** Unloads a model with its adapters, once its requests have ended. */
    record UnloadModel(String model) implements PlacementOrder {}

    /** Loads an adapter of a model that the runner holds. */
    record LoadAdapter(String model, String adapter) implements PlacementOrder {}

    /** Unloads an adapter. */
    record UnloadAdapter(String model, String adapter) implements PlacementOrder {}
}
