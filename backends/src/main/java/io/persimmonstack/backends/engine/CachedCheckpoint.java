package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;

/**
 * Checkpoint that the engine's host has in memory or on disk.
 *
 * @param version model version of the checkpoint
 * @param place where the host keeps it
 */
public record CachedCheckpoint(ModelVersion version, CheckpointPlace place) {}
