package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.List;
import java.util.Optional;

/**
 * Runner as seen by this node, the input of {@link LoadPlanner}.
 *
 * @param status state that its owner announced last
 * @param leaving whether the runner accepts no new work
 * @param ownerLive whether the owner that announced the state is a live member
 */
public record RunnerView(RunnerStatus status, boolean leaving, boolean ownerLive) {
    /** Returns the name of the runner. */
    public String runner() {
        return status.getRunner();
    }

    /** Returns the entry of a model version in any state, empty if the runner has none. */
    public Optional<LoadedModel> model(ModelVersion model) {
        String name = model.toString();
        return status.getModels().stream()
                .filter(entry -> entry.getModel().equals(name))
                .findFirst();
    }

    /** Returns whether the model version is loading or loaded. */
    public boolean holds(ModelVersion model) {
        return model(model)
                .filter(entry -> entry.getState() != LoadState.UNLOADING)
                .isPresent();
    }

    /** Returns whether the runner has a slot for the model version. */
    public boolean hasSlot(ModelVersion model) {
        return status.getSlots().contains(model.toString());
    }

    /** Returns a copy that shows a load of the model which the owner has not announced yet. */
    public RunnerView withLoading(ModelVersion model, long bytes) {
        RunnerStatus ordered = new RunnerStatus(status);
        ordered.addToModels(new LoadedModel(model.toString(), LoadState.LOADING, bytes, List.of()));
        return new RunnerView(ordered, leaving, ownerLive);
    }

    /** Returns a copy that has no free memory, even if all loaded models were unloaded. */
    public RunnerView withoutFreeableMemory() {
        RunnerStatus full = new RunnerStatus(status);
        full.setUsedBytes(status.getMemoryBytes() + loadedBytes());
        return new RunnerView(full, leaving, ownerLive);
    }

    /** Returns a copy with a slot for the model version, which the owner may not have announced yet. */
    public RunnerView withSlot(ModelVersion model) {
        if (hasSlot(model)) {
            return this;
        }
        RunnerStatus granted = new RunnerStatus(status);
        granted.addToSlots(model.toString());
        return new RunnerView(granted, leaving, ownerLive);
    }

    /** Returns the bytes of memory that are neither used nor reserved for a load order; may be negative. */
    public long freeBytes() {
        return status.getMemoryBytes() - usedBytes();
    }

    private long usedBytes() {
        long sum = status.getModels().stream()
                .mapToLong(LoadedModel::getMemoryBytes)
                .sum();
        return status.isSetUsedBytes() ? Math.max(sum, status.getUsedBytes()) : sum;
    }

    /** Returns the bytes of memory that would be free if every loaded model were unloaded. */
    public long freeableBytes() {
        return freeBytes() + loadedBytes();
    }

    private long loadedBytes() {
        return status.getModels().stream()
                .filter(entry -> entry.getState() == LoadState.LOADED)
                .mapToLong(LoadedModel::getMemoryBytes)
                .sum();
    }

    /**
     * Returns how far away the model's checkpoint is: 0 in host memory, 1 on the host's disk, 2 in the weight store.
     */
    public int checkpointRank(ModelVersion model) {
        String name = model.toString();
        if (status.isSetCachedInMemory() && status.getCachedInMemory().contains(name)) {
            return 0;
        }
        return status.isSetCachedOnDisk() && status.getCachedOnDisk().contains(name) ? 1 : 2;
    }

    /** Returns the runner's distance from a zone: 0 in the same zone, 1 in the same region, 2 elsewhere. */
    public int distance(String zone, String region) {
        if (status.getZone().equals(zone)) {
            return 0;
        }
        return status.getRegion().equals(region) ? 1 : 2;
    }

    /** Returns the versions of a model that the runner has slots for. */
    public List<ModelVersion> slotsOf(String model) {
        return status.getSlots().stream()
                .map(ModelVersion::parse)
                .filter(slot -> slot.model().equals(model))
                .toList();
    }
}
