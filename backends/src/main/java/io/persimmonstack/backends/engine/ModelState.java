package io.persimmonstack.backends.engine;

/** State of a base model on an engine. The model takes memory in every state. */
public enum ModelState {
    /** The load is in progress. */
    LOADING,
    /** The model serves requests. */
    LOADED,
    /** The model finishes its running requests and accepts no new ones. */
    UNLOADING
}
