package io.persimmonstack.node.request;

/**
 * Reference to a model or to one of its adapters.
 *
 * @param model name of the model
 * @param adapter name of the adapter, empty for the model itself
 */
public record ModelRef(String model, String adapter) {
    /** Returns whether this refers to an adapter. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + "/" + adapter : model;
    }
}
