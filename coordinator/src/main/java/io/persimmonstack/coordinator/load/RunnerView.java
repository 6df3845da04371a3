package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.List;
import java.util.Optional;

/**
 * Runner as the planner sees it.
 *
 * @param status state that its owner announced
 * @param leaving whether it takes no new work
 * @param ownerLive whether its owner takes part
 */
public record RunnerView(RunnerStatus status, boolean leaving, boolean ownerLive) {
    /** Returns the name of the runner. */
    public String runner() {
        return status.getRunner();
    }

    /** Returns the model's entry, whatever its state. */
    public Optional<LoadedModel> model(ModelVersion model) {
        String name = model.toString();
        return status.getModels().stream()
                .filter(entry -> entry.getModel().equals(name))
                .findFirst();
    }

    /** Returns whether the model is loading or loaded. */
    public boolean holds(ModelVersion model) {
        return model(model)
                .filter(entry -> entry.getState() != LoadState.UNLOADING)
                .isPresent();
    }

    /** Returns whether the runner has a slot of the model version. */
    public boolean hasSlot(ModelVersion model) {
        return status.getSlots().contains(model.toString());
    }

    /** Returns the runner with a load of the model that its owner has not announced yet. */
    public RunnerView withLoading(ModelVersion model, long bytes) {
        RunnerStatus ordered = new RunnerStatus(status);
        ordered.addToModels(new LoadedModel(model.toString(), LoadState.LOADING, bytes, List.of()));
        return new RunnerView(ordered, leaving, ownerLive);
    }

    /** Returns the runner without room for anything, whatever would be unloaded. */
    public RunnerView withoutFreeableMemory() {
        RunnerStatus full = new RunnerStatus(status);
        full.setUsedBytes(status.getMemoryBytes() + loadedBytes());
        return new RunnerView(full, leaving, ownerLive);
    }

    /** Returns the runner with a slot of the model version that its owner has not announced yet. */
    public RunnerView withSlot(ModelVersion model) {
        if (hasSlot(model)) {
            return this;
        }
        RunnerStatus granted = new RunnerStatus(status);
        granted.addToSlots(model.toString());
        return new RunnerView(granted, leaving, ownerLive);
    }

    /** Returns the memory that is neither loaded nor loading. */
    public long freeBytes() {
        return status.getMemoryBytes() - usedBytes();
    }

    private long usedBytes() {
        long sum = status.getModels().stream()
                .mapToLong(LoadedModel::getMemoryBytes)
                .sum();
        return status.isSetUsedBytes() ? Math.max(sum, status.getUsedBytes()) : sum;
    }

    /** Returns the memory that would be free if every loaded model were unloaded. */
    public long freeableBytes() {
        return freeBytes() + loadedBytes();
    }

    private long loadedBytes() {
        return status.getModels().stream()
                .filter(entry -> entry.getState() == LoadState.LOADED)
                .mapToLong(LoadedModel::getMemoryBytes)
                .sum();
    }

    /** Returns where the checkpoint is: 0 in memory, 1 on disk, 2 remote. */
    public int checkpointRank(ModelVersion model) {
        String name = model.toString();
        if (status.isSetCachedInMemory() && status.getCachedInMemory().contains(name)) {
            return 0;
        }
        return status.isSetCachedOnDisk() && status.getCachedOnDisk().contains(name) ? 1 : 2;
    }

    /** Returns how far the runner is: 0 same zone, 1 same region, 2 farther. */
    public int distance(String zone, String region) {
        if (status.getZone().equals(zone)) {
            return 0;
        }
        return status.getRegion().equals(region) ? 1 : 2;
    }

    /** Returns the slots of any version of a model, as versions. */
    public List<ModelVersion> slotsOf(String model) {
        return status.getSlots().stream()
                .map(ModelVersion::parse)
                .filter(slot -> slot.model().equals(model))
                .toList();
    }
}
