package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.CachedCheckpoint;
import io.persimmonstack.backends.engine.CheckpointPlace;
import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.EngineState;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.LoadKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What an owner knows of its engine: the state as inspected last, and the orders whose effect it does not show yet.
 * Confined to the agent's thread.
 */
final class EngineTracker {
    /**
     * Memory that an order may take.
     *
     * @param bytes memory
     * @param answered whether the order was answered, so that the next inspection shows its effect
     */
    private record Reservation(long bytes, boolean answered) {}

    private final Map<LoadKey, Reservation> reservations = new HashMap<>();
    private final Set<LoadKey> unloading = new HashSet<>();
    private EngineState state;
    private boolean stale = true;

    Optional<EngineState> state() {
        return Optional.ofNullable(state);
    }

    /** Takes the state of an inspection that began after all orders noted so far. */
    void onInspected(EngineState inspected) {
        state = inspected;
        stale = false;
        reservations.entrySet().removeIf(entry -> entry.getValue().answered() || holds(entry.getKey()));
    }

    /** Notes that the engine refuses all orders sent so far that it has not acted on. */
    void onFenced() {
        reservations.values().removeIf(reservation -> !reservation.answered());
    }

    /** Returns whether an order got no answer and may still take effect, however late. */
    boolean hasUnansweredOrders() {
        return reservations.values().stream().anyMatch(reservation -> !reservation.answered());
    }

    /** Returns whether an order was answered since the last inspection. */
    boolean isStale() {
        return stale;
    }

    /** Notes an order before it is sent. */
    void reserve(LoadKey key, long bytes) {
        stale = true;
        reservations.put(key, new Reservation(bytes, true));
    }

    /** Notes that an order provably had no effect. */
    void release(LoadKey key) {
        reservations.remove(key);
    }

    /** Notes that an order got no answer and may take effect until its effect is seen or the engine is fenced. */
    void quarantine(LoadKey key, long bytes) {
        reservations.put(key, new Reservation(bytes, false));
    }

    void onUnloadStarted(LoadKey key) {
        unloading.add(key);
    }

    void onUnloadFinished(LoadKey key) {
        stale = true;
        unloading.remove(key);
    }

    boolean isUnloading(LoadKey key) {
        return unloading.contains(key);
    }

    /** Returns whether an order may still take effect, or a load or unload is in progress. */
    boolean hasOrdersInFlight() {
        boolean changing =
                state == null || state.models().stream().anyMatch(model -> model.state() != ModelState.LOADED);
        return changing || !reservations.isEmpty() || !unloading.isEmpty();
    }

    /** Returns whether the engine has nothing of the model and no order for it is in flight. */
    boolean isClearOf(ModelVersion model) {
        return state != null
                && state.model(model).isEmpty()
                && reservations.keySet().stream().noneMatch(key -> key.model().equals(model))
                && unloading.stream().noneMatch(key -> key.model().equals(model));
    }

    /** Returns whether a load that was ordered may still be fetching. */
    boolean isLoading(LoadKey key) {
        boolean fetching = state.model(key.model())
                .filter(model -> model.state() == ModelState.LOADING)
                .isPresent();
        return reservations.containsKey(key) || key.adapter().isEmpty() && fetching;
    }

    /** Returns the memory that neither a model nor an order takes. */
    long freeBytes() {
        long models =
                state.models().stream().mapToLong(EngineModel::memoryBytes).sum();
        long reserved = reservations.entrySet().stream()
                .filter(entry -> !holds(entry.getKey()))
                .mapToLong(entry -> entry.getValue().bytes())
                .sum();
        return state.memoryBytes() - Math.max(models, state.usedBytes()) - reserved;
    }

    /** Returns whether the state shows the model, or the adapter, loading or loaded. */
    boolean holds(LoadKey key) {
        return state.model(key.model())
                .filter(model -> key.adapter().map(model.adapters()::contains).orElse(true))
                .isPresent();
    }

    /** Returns the nearest place of the checkpoint. */
    CheckpointPlace nearestCheckpointPlace(ModelVersion model) {
        return state.cached().stream()
                .filter(checkpoint -> checkpoint.version().equals(model))
                .map(CachedCheckpoint::place)
                .min(CheckpointPlace::compareTo)
                .orElse(CheckpointPlace.REMOTE);
    }
}
