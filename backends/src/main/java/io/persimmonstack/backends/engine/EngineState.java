package io.persimmonstack.backends.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * State that an engine reports.
 *
 * @param runner name of the runner
 * @param memoryBytes total accelerator memory, in bytes
 * @param usedBytes accelerator memory used by models and adapters, those still loading included, in bytes
 * @param maxConcurrent maximum number of requests that run at the same time
 * @param inFlight number of running requests
 * @param queued number of waiting requests
 * @param fencing whether the engine refuses orders with a stale fencing token
 * @param fence highest fencing token that the engine has seen
 * @param leaving whether the engine accepts no new work
 * @param models models that are loading, loaded or unloading
 * @param cached checkpoints cached on the engine's host
 * @param softwareVersion version of the engine's software, empty if the engine does not tell it
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
        List<CachedCheckpoint> cached,
        Optional<String> softwareVersion) {
    /** Makes the lists immutable. */
    public EngineState {
        models = List.copyOf(models);
        cached = List.copyOf(cached);
    }

    /** Returns the base model of the given version, or empty if it takes no memory on this engine. */
    public Optional<EngineModel> model(ModelVersion version) {
        return models.stream().filter(model -> model.version().equals(version)).findFirst();
    }
}
