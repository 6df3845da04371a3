package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.coordinator.load.LoadKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Models to unload so that a pending load fits. Models already being unloaded come first, then those with the lowest
 * retention value, then those idle for longest.
 *
 * @param victims models to unload, including those already being unloaded
 * @param suffices whether the load fits once the victims are unloaded
 * @param reason how many bytes can be freed and how many are needed, for a refusal
 */
record EvictionPlan(List<LoadKey> victims, boolean suffices, String reason) {
    /** A model that was used more recently than this is not evicted. */
    private static final long MIN_IDLE_MS = 2_000;

    /** Plans evictions of loaded models that are idle and have no pending load, until the needed bytes are free. */
    static EvictionPlan of(EngineTracker tracker, ModelUsage usage, long neededBytes, LoadQueue loadQueue) {
        long freeBytes = tracker.freeBytes();
        List<LoadKey> victims = new ArrayList<>();
        for (EngineModel model : candidates(tracker, usage, loadQueue)) {
            if (freeBytes >= neededBytes) {
                break;
            }
            victims.add(baseKey(model));
            freeBytes += model.memoryBytes();
        }
        boolean suffices = freeBytes >= neededBytes;
        String reason = "room for " + freeBytes + " bytes with idle models unloaded; needed " + neededBytes;
        return new EvictionPlan(victims, suffices, reason);
    }

    /** Returns the models that may be evicted, in the order of eviction. */
    private static List<EngineModel> candidates(EngineTracker tracker, ModelUsage usage, LoadQueue loadQueue) {
        return tracker.state().orElseThrow().models().stream()
                .filter(model -> model.state() == ModelState.LOADED)
                .filter(model -> !loadQueue.hasPendingLoad(model.version()))
                .filter(model -> tracker.isUnloading(baseKey(model)) || idleMs(usage, model) >= MIN_IDLE_MS)
                .sorted(Comparator.comparing((EngineModel model) -> !tracker.isUnloading(baseKey(model)))
                        .thenComparingDouble(model -> usage.retentionValue(baseKey(model)))
                        .thenComparing(Comparator.comparingLong((EngineModel model) -> idleMs(usage, model))
                                .reversed()))
                .toList();
    }

    /** Returns how long neither the model nor any of its adapters was used, in milliseconds. */
    private static long idleMs(ModelUsage usage, EngineModel model) {
        long idle = usage.idleMs(baseKey(model));
        for (String adapter : model.adapters()) {
            idle = Math.min(idle, usage.idleMs(new LoadKey(model.version(), Optional.of(adapter))));
        }
        return idle;
    }

    private static LoadKey baseKey(EngineModel model) {
        return new LoadKey(model.version(), Optional.empty());
    }
}
