package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * State that an engine reports.
 *
 * @param runner name of the runner
 * @param memoryBytes accelerator memory in all
 * @param usedBytes accelerator memory taken by loading and loaded models and adapters
 * @param maxConcurrent requests that run at once
 * @param inFlight requests running
 * @param queued requests waiting
 * @param fencing whether the engine refuses old fencing numbers
 * @param fence highest fencing number seen
 * @param leaving whether the engine takes no new work
 * @param models models loading, loaded or unloading
 * @param cached checkpoints kept on the engine's host
 */
public record EngineState(
        String runner,
        long memoryBytes,
        long usedBytes,
        int maxConcurrent,
        int inFlight,
        int queued,
        boolean fencing,
        long fence,
        boolean leaving,
        List<EngineModel> models,
        List<CachedCheckpoint> cached) {
    /** Copies the lists. */
    public EngineState {
        models = List.copyOf(models);
        cached = List.copyOf(cached);
    }

    /** Returns the named base model, if it takes memory on this engine. */
    public Optional<EngineModel> model(ModelVersion version) {
        return models.stream().filter(model -> model.version().equals(version)).findFirst();
    }
}
