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
 * Tracks one engine for its owner: the last inspected state, and the orders whose effect that state may not show yet.
 * Confined to the agent's thread. Methods that compute something from the state, such as {@link #freeBytes}, must not
 * be called before the first inspection.
 */
final class EngineTracker {
    /**
     * Memory reserved for a load order.
     *
     * @param bytes accelerator memory that the load may take
     * @param answered whether the engine answered the order, so that the next inspection shows its effect
     */
    private record Reservation(long bytes, boolean answered) {}

    private final Map<LoadKey, Reservation> reservations = new HashMap<>();
    private final Set<LoadKey> unloading = new HashSet<>();
    private EngineState state;
    private boolean stale = true;

    /** Returns the state of the last inspection, empty before the first. */
    Optional<EngineState> state() {
        return Optional.ofNullable(state);
    }

    /**
     * Replaces the state after an inspection, and drops the reservations of answered orders and of orders whose effect
     * it shows.
     *
     * @param inspected state of an inspection that began after all orders recorded so far
     */
    void onInspected(EngineState inspected) {
        state = inspected;
        stale = false;
        reservations.entrySet().removeIf(entry -> entry.getValue().answered() || holds(entry.getKey()));
    }

    /** Drops the reservations of unanswered orders: the engine was fenced and refuses those it has not executed. */
    void onFenced() {
        reservations.values().removeIf(reservation -> !reservation.answered());
    }

    /** Returns whether an order got no answer and may still take effect at any later time. */
    boolean hasUnansweredOrders() {
        return reservations.values().stream().anyMatch(reservation -> !reservation.answered());
    }

    /**
     * Returns whether the state may be outdated: a load was ordered or an unload has ended since the last inspection,
     * or there was none.
     */
    boolean isStale() {
        return stale;
    }

    /**
     * Reserves memory for a load order before it is sent. The order counts as answered unless {@link #quarantine}
     * follows. The reservation of an earlier order for the same key that got no answer stays, since that order may
     * still take effect whatever becomes of the new one.
     */
    void reserve(LoadKey key, long bytes) {
        stale = true;
        reservations.putIfAbsent(key, new Reservation(bytes, true));
    }

    /**
     * Releases the reservation of an order that provably had no effect.
     *
     * @return whether nothing is reserved for the key any more; false if an earlier order for it got no answer
     */
    boolean release(LoadKey key) {
        reservations.computeIfPresent(key, (ignored, reservation) -> reservation.answered() ? null : reservation);
        return !reservations.containsKey(key);
    }

    /**
     * Marks an order as unanswered. It may take effect at any time, so its memory stays reserved until an inspection
     * shows the effect or the engine is fenced.
     */
    void quarantine(LoadKey key, long bytes) {
        reservations.put(key, new Reservation(bytes, false));
    }

    /** Records that an unload order is about to be sent. */
    void onUnloadStarted(LoadKey key) {
        unloading.add(key);
    }

    /** Records that an unload order has ended, whatever its outcome. */
    void onUnloadFinished(LoadKey key) {
        stale = true;
        unloading.remove(key);
    }

    /** Returns whether an unload order for the key is in flight. */
    boolean isUnloading(LoadKey key) {
        return unloading.contains(key);
    }

    /** Returns whether an order may still take effect, a load or unload is in progress, or no state is known yet. */
    boolean hasOrdersInFlight() {
        boolean changing =
                state == null || state.models().stream().anyMatch(model -> model.state() != ModelState.LOADED);
        return changing || !reservations.isEmpty() || !unloading.isEmpty();
    }

    /**
     * Returns whether the engine has neither the model nor an order for it in flight, so that its slot may be given
     * back.
     */
    boolean isClearOf(ModelVersion model) {
        return state != null
                && state.model(model).isEmpty()
                && reservations.keySet().stream().noneMatch(key -> key.model().equals(model))
                && unloading.stream().noneMatch(key -> key.model().equals(model));
    }

    /** Returns whether a load that was ordered may still be in progress. */
    boolean isLoading(LoadKey key) {
        boolean loading = state.model(key.model())
                .filter(model -> model.state() == ModelState.LOADING)
                .isPresent();
        return reservations.containsKey(key) || key.adapter().isEmpty() && loading;
    }

    /** Returns the bytes of memory that are neither used nor reserved for an order; may be negative. */
    long freeBytes() {
        long models =
                state.models().stream().mapToLong(EngineModel::memoryBytes).sum();
        long reserved = reservations.entrySet().stream()
                .filter(entry -> !holds(entry.getKey()))
                .mapToLong(entry -> entry.getValue().bytes())
                .sum();
        return state.memoryBytes() - Math.max(models, state.usedBytes()) - reserved;
    }

    /** Returns whether the state shows the model, or the adapter on it, whatever the model's state. */
    boolean holds(LoadKey key) {
        return state.model(key.model())
                .filter(model -> key.adapter().map(model.adapters()::contains).orElse(true))
                .isPresent();
    }

    /** Returns the nearest place that has the model's checkpoint. */
    CheckpointPlace nearestCheckpointPlace(ModelVersion model) {
        return state.cached().stream()
                .filter(checkpoint -> checkpoint.version().equals(model))
                .map(CachedCheckpoint::place)
                .min(CheckpointPlace::compareTo)
                .orElse(CheckpointPlace.REMOTE);
    }
}
