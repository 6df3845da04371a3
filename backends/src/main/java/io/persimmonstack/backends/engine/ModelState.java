package io.persimmonstack.backends.engine;

/** State of a base model on an engine; it takes memory in each of them. */
public enum ModelState {
    /** Load in progress. */
    LOADING,
    /** Serves requests. */
    LOADED,
    /** Finishes its requests and takes no new ones. */
    UNLOADING
}
