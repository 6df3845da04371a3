package io.persimmonstack.standin.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.standin.engine.EngineApiMessages.ModelBody;
import io.persimmonstack.standin.weights.LoadProgress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Base model on an engine with its adapters. Not thread-safe; guarded by the lock of {@link EngineMemory}. */
final class Replica {
    private final ModelVersion version;
    private final long baseBytes;
    private final LoadProgress progress = new LoadProgress();
    private final Map<String, Adapter> adapters = new TreeMap<>();
    private State state = State.LOADING;
    private String failure;
    private int inFlight;
    private long idleSinceNanos;
    private long idleNanos;

    /** State of a base model on an engine. */
    enum State {
        /** The load is in progress; the memory is reserved. */
        LOADING,
        /** The model serves requests. */
        LOADED,
        /** The model accepts no requests; those in flight are finishing. */
        UNLOADING,
        /** The load failed; the replica uses no memory and stays until it is unloaded or loaded again. */
        FAILED
    }

    /** Adapter; it uses memory from the moment its load is accepted. */
    static final class Adapter {
        final long bytes;
        boolean loaded;

        private Adapter(long bytes) {
            this.bytes = bytes;
        }
    }

    Replica(ModelVersion version, long baseBytes) {
        this.version = version;
        this.baseBytes = baseBytes;
    }

    ModelVersion version() {
        return version;
    }

    State state() {
        return state;
    }

    LoadProgress progress() {
        return progress;
    }

    Map<String, Adapter> adapters() {
        return adapters;
    }

    Adapter addAdapter(String name, long bytes) {
        Adapter adapter = new Adapter(bytes);
        adapters.put(name, adapter);
        return adapter;
    }

    /** Returns the memory reserved for the base model and its adapters, 0 once the load has failed. */
    long usedBytes() {
        return state == State.FAILED
                ? 0
                : baseBytes
                        + adapters.values().stream()
                                .mapToLong(adapter -> adapter.bytes)
                                .sum();
    }

    void markLoaded(long nowNanos) {
        state = State.LOADED;
        idleSinceNanos = nowNanos;
    }

    void markUnloading() {
        state = State.UNLOADING;
    }

    void markFailed(String reason) {
        state = State.FAILED;
        failure = reason;
    }

    /** Returns whether the base model and, unless null, the adapter are loaded. */
    boolean serves(String adapter) {
        Adapter requestedAdapter = adapter == null ? null : adapters.get(adapter);
        return state == State.LOADED && (adapter == null || requestedAdapter != null && requestedAdapter.loaded);
    }

    int inFlight() {
        return inFlight;
    }

    void requestStarted(long nowNanos) {
        if (inFlight == 0) {
            idleNanos += nowNanos - idleSinceNanos;
        }
        inFlight++;
    }

    void requestEnded(long nowNanos) {
        inFlight--;
        if (inFlight == 0) {
            idleSinceNanos = nowNanos;
        }
    }

    /** Returns the total time that the replica was loaded without a request, in milliseconds. */
    long idleMs(long nowNanos) {
        boolean idleNow = state == State.LOADED && inFlight == 0;
        return TimeUnit.NANOSECONDS.toMillis(idleNanos + (idleNow ? nowNanos - idleSinceNanos : 0));
    }

    ModelBody toBody() {
        List<String> loadedAdapters = new ArrayList<>();
        adapters.forEach((name, adapter) -> {
            if (adapter.loaded) {
                loadedAdapters.add(name);
            }
        });
        // The API has no state for a failed load; the failure text identifies it.
        String reportedState =
                state == State.FAILED ? "unloading" : state.name().toLowerCase(java.util.Locale.ROOT);
        long readyInMs = state == State.LOADING ? progress.readyInMs() : 0;
        return new ModelBody(
                version.model(), version.version(), reportedState, usedBytes(), loadedAdapters, readyInMs, failure);
    }
}
