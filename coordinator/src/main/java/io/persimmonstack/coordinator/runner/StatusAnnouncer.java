package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.CheckpointPlace;
import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.EngineState;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Announces the state of an owned runner when it changed. A change of predicted load times alone is not announced. */
final class StatusAnnouncer {
    private final NodeIdentity self;
    private final Consumer<RunnerStatus> announce;
    private RunnerStatus lastAnnounced;
    private long sequence;

    StatusAnnouncer(NodeIdentity self, Consumer<RunnerStatus> announce) {
        this.self = self;
        this.announce = announce;
    }

    /**
     * Announces the state if it changed since the last announcement; does nothing before the first inspection.
     *
     * @param host entry of the runner in the host list
     * @param owned slots and epoch of the runner
     * @param tracker state of the engine
     * @param leaving whether the runner accepts no new work
     */
    void announceIfChanged(Host host, OwnedRunner owned, EngineTracker tracker, boolean leaving) {
        if (tracker.state().isEmpty()) {
            return;
        }
        RunnerStatus next = buildStatus(host, owned, tracker, tracker.state().get(), leaving);
        if (lastAnnounced != null && withoutVolatileFields(next).equals(withoutVolatileFields(lastAnnounced))) {
            return;
        }
        sequence++;
        next.setSequence(sequence);
        lastAnnounced = next;
        announce.accept(next);
    }

    private RunnerStatus buildStatus(
            Host host, OwnedRunner owned, EngineTracker tracker, EngineState state, boolean leaving) {
        RunnerStatus status = new RunnerStatus(
                host.name(),
                host.address().toString(),
                host.zone(),
                host.region(),
                self.node(),
                self.incarnation(),
                owned.epoch(),
                sequence,
                state.memoryBytes(),
                owned.slots().stream().map(ModelVersion::toString).sorted().toList(),
                state.models().stream()
                        .map(model -> toLoadedModel(model, tracker))
                        .toList(),
                leaving || state.leaving(),
                state.fencing(),
                state.maxConcurrent());
        status.setUsedBytes(state.memoryBytes() - tracker.freeBytes());
        status.setCachedInMemory(cachedAt(state, CheckpointPlace.MEMORY));
        status.setCachedOnDisk(cachedAt(state, CheckpointPlace.DISK));
        state.softwareVersion().ifPresent(status::setSoftwareVersion);
        return status;
    }

    /** Converts a model for the announcement; one with an unload order in flight counts as unloading. */
    private static LoadedModel toLoadedModel(EngineModel model, EngineTracker tracker) {
        boolean unloading = tracker.isUnloading(new LoadKey(model.version(), Optional.empty()));
        LoadedModel loaded = new LoadedModel(
                model.version().toString(),
                unloading ? LoadState.UNLOADING : toLoadState(model.state()),
                model.memoryBytes(),
                model.adapters());
        if (model.state() == ModelState.LOADING) {
            loaded.setReadyInMs(model.readyInMs());
        }
        return loaded;
    }

    private static LoadState toLoadState(ModelState state) {
        return switch (state) {
            case LOADING -> LoadState.LOADING;
            case LOADED -> LoadState.LOADED;
            case UNLOADING -> LoadState.UNLOADING;
        };
    }

    private static List<String> cachedAt(EngineState state, CheckpointPlace place) {
        return state.cached().stream()
                .filter(checkpoint -> checkpoint.place() == place)
                .map(checkpoint -> checkpoint.version().toString())
                .sorted()
                .toList();
    }

    /** Returns a copy without the sequence number and the predicted load times, for comparison. */
    private static RunnerStatus withoutVolatileFields(RunnerStatus status) {
        RunnerStatus copy = new RunnerStatus(status);
        copy.setSequence(0);
        copy.getModels().forEach(LoadedModel::unsetReadyInMs);
        return copy;
    }
}
