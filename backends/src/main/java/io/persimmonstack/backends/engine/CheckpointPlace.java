package io.persimmonstack.backends.engine;

/** Where an engine takes a checkpoint from. */
public enum CheckpointPlace {
    /** Memory of the engine's host. */
    MEMORY,
    /** Disk of the engine's host. */
    DISK,
    /** Weight store. */
    REMOTE
}
