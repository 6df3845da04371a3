package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Builds runner states for tests; by default that of an idle runner of known state that holds nothing. */
final class RunnerStateBuilder {
    private final String id;
    private final Map<String, HeldModel> models = new HashMap<>();
    private String softwareVersion = "v1";
    private boolean stateKnown = true;
    private boolean idle = true;
    private Set<String> recentlyLoaded = Set.of();
    private Optional<String> loadingModel = Optional.empty();
    private Set<ModelRef> loadingAdapters = Set.of();
    private Set<String> inMemory = Set.of();
    private Set<String> onDisk = Set.of();
    private RequestCounts requestCounts = RequestCounts.of(Map.of());

    private RunnerStateBuilder(String id) {
        this.id = id;
    }

    /** Returns a builder for the state of a runner with the given identifier. */
    static RunnerStateBuilder runner(String id) {
        return new RunnerStateBuilder(id);
    }

    /** Returns a builder that starts from a state built before. */
    static RunnerStateBuilder from(RunnerState state) {
        RunnerStateBuilder builder = new RunnerStateBuilder(state.id());
        builder.models.putAll(state.models());
        builder.softwareVersion = state.softwareVersion();
        builder.stateKnown = state.stateKnown();
        builder.idle = state.idle();
        builder.recentlyLoaded = state.recentlyLoaded();
        builder.loadingModel = state.loadingModel();
        builder.loadingAdapters = state.loadingAdapters();
        builder.inMemory = state.inMemory();
        builder.onDisk = state.onDisk();
        builder.requestCounts = state.requestCounts();
        return builder;
    }

    RunnerStateBuilder holding(HeldModel model) {
        models.put(model.name(), model);
        return this;
    }

    RunnerStateBuilder unknown() {
        stateKnown = false;
        return this;
    }

    RunnerStateBuilder recentlyLoaded(Set<String> newRecentlyLoaded) {
        recentlyLoaded = newRecentlyLoaded;
        return this;
    }

    RunnerStateBuilder softwareVersion(String newSoftwareVersion) {
        softwareVersion = newSoftwareVersion;
        return this;
    }

    /** Lets the runner load a model, which makes it busy. */
    RunnerStateBuilder loading(String model) {
        loadingModel = Optional.of(model);
        idle = false;
        return this;
    }

    RunnerStateBuilder loadingAdapters(Set<ModelRef> newLoadingAdapters) {
        loadingAdapters = newLoadingAdapters;
        return this;
    }

    RunnerStateBuilder copies(Set<String> newInMemory, Set<String> newOnDisk) {
        inMemory = newInMemory;
        onDisk = newOnDisk;
        return this;
    }

    RunnerStateBuilder requests(Map<ModelRef, Integer> newRequestsByModel) {
        requestCounts = RequestCounts.of(newRequestsByModel);
        return this;
    }

    RunnerState build() {
        return new RunnerState(
                id,
                "zone-a",
                softwareVersion,
                stateKnown,
                idle,
                false,
                0,
                models,
                recentlyLoaded,
                loadingModel,
                loadingAdapters,
                Set.of(),
                inMemory,
                onDisk,
                requestCounts,
                PlanningTestData.SLOTS);
    }
}
