package io.persimmonstack.node.request;

/**
 * Model, or adapter of a model, that a request asks for.
 *
 * @param model name of the model
 * @param adapter name of the adapter, empty for the model itself
 */
public record ModelRef(String model, String adapter) {
    /** Returns whether it names an adapter. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + "/" + adapter : model;
    }
}
