package io.persimmonstack.node.planning;

/** Order to a runner to load or unload a model or an adapter. */
public sealed interface PlacementOrder {
    /** Returns the name of the model, for adapter orders that of the base model. */
    String model();

    /** Loads the weights of a model. */
    record LoadModel(String model) implements PlacementOrder {}

    /** Unloads a model and its adapters once its requests in progress have ended. */
    record UnloadModel(String model) implements PlacementOrder {}

    /** Loads an adapter of a model that the runner holds. */
    record LoadAdapter(String model, String adapter) implements PlacementOrder {}

    /** Unloads an adapter. */
    record UnloadAdapter(String model, String adapter) implements PlacementOrder {}
}
