package io.persimmonstack.backends.engine;

/** Where an engine reads a checkpoint from. */
public enum CheckpointPlace {
    /** Main memory of the engine's host. */
    MEMORY,
    /** Local disk of the engine's host. */
    DISK,
    /** Weight store, over the network. */
    REMOTE
}
