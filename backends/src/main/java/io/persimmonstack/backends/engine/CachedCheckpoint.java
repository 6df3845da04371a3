package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;

/**
 * Checkpoint that an engine's host keeps.
 *
 * @param version base model
 * @param place where it is kept
 */
public record CachedCheckpoint(ModelVersion version, CheckpointPlace place) {}
