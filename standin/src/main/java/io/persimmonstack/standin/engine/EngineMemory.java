package io.persimmonstack.standin.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.standin.engine.EngineApiMessages.CachedBody;
import io.persimmonstack.standin.engine.EngineApiMessages.ModelBody;
import io.persimmonstack.standin.ledger.ReplicaTracker;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Accelerator memory of one engine. Tracks the loaded models, the memory they use, the checkpoints cached on the
 * engine's host, and the highest fencing token seen. Thread-safe.
 */
final class EngineMemory {
    private final long memoryBytes;
    private final boolean fencing;
    private final ReplicaTracker replicaTracker;
    private final Map<ModelVersion, Replica> replicas = new TreeMap<>();
    /** Checkpoints cached on the host, each in {@code memory} or on {@code disk}. */
    private final Map<ModelVersion, String> cachedPlaces = new TreeMap<>();

    private long highestFencingToken;
    /** Highest memory use so far. */
    private long highWaterBytes;
    /** Idle time of the replicas that were unloaded or dropped. */
    private long removedReplicasIdleMs;

    EngineMemory(long memoryBytes, boolean fencing, ReplicaTracker replicaTracker) {
        this.memoryBytes = memoryBytes;
        this.fencing = fencing;
        this.replicaTracker = replicaTracker;
    }

    /** Decision on an order to load a model or an adapter. */
    enum LoadDecision {
        /** The memory is reserved and the load can start. */
        ACCEPTED,
        /** The same load is already in progress. */
        IN_PROGRESS,
        /** The model or adapter is already loaded. */
        DONE,
        /** The fencing token is stale. */
        FENCED,
        /** There is too little free memory. */
        NO_MEMORY,
        /** The model is being unloaded. */
        UNLOADING,
        /** The base model of the adapter is not loaded. */
        NO_BASE
    }

    /** Returns whether a fencing token is acceptable, and remembers it if it is the highest so far. */
    synchronized boolean acceptFencingToken(long token) {
        if (fencing && token < highestFencingToken) {
            return false;
        }
        highestFencingToken = Math.max(highestFencingToken, token);
        return true;
    }

    /** Reserves memory for a base model; the caller has to run the load if the decision is {@code ACCEPTED}. */
    synchronized LoadDecision beginLoad(ModelVersion version, long bytes) {
        Replica existing = replicas.get(version);
        if (existing != null && existing.state() != Replica.State.FAILED) {
            return switch (existing.state()) {
                case LOADED -> LoadDecision.DONE;
                case LOADING -> LoadDecision.IN_PROGRESS;
                default -> LoadDecision.UNLOADING;
            };
        }
        if (usedBytes() + bytes > memoryBytes) {
            return LoadDecision.NO_MEMORY;
        }
        replicas.put(version, new Replica(version, bytes));
        replicaTracker.recordAdded(version.model());
        updateHighWater();
        return LoadDecision.ACCEPTED;
    }

    /** Reserves memory for an adapter; the caller has to run the load if the decision is {@code ACCEPTED}. */
    synchronized LoadDecision beginAdapterLoad(ModelVersion version, String adapter, long bytes) {
        Replica base = replicas.get(version);
        if (base == null || base.state() != Replica.State.LOADED) {
            return LoadDecision.NO_BASE;
        }
        Replica.Adapter existing = base.adapters().get(adapter);
        if (existing != null) {
            return existing.loaded ? LoadDecision.DONE : LoadDecision.IN_PROGRESS;
        }
        if (usedBytes() + bytes > memoryBytes) {
            return LoadDecision.NO_MEMORY;
        }
        base.addAdapter(adapter, bytes);
        updateHighWater();
        return LoadDecision.ACCEPTED;
    }

    /** Returns the replica of a base model in any state, or empty if there is none. */
    synchronized Optional<Replica> replica(ModelVersion version) {
        return Optional.ofNullable(replicas.get(version));
    }

    /** Marks a load as finished or failed; ignored if the replica was unloaded meanwhile. */
    synchronized void finishLoad(Replica replica, boolean crashed) {
        if (replicas.get(replica.version()) != replica || replica.state() != Replica.State.LOADING) {
            return;
        }
        if (crashed) {
            replica.markFailed("load crashed");
            replicaTracker.recordRemoved(replica.version().model());
        } else {
            replica.markLoaded(System.nanoTime());
            cachedPlaces.putIfAbsent(replica.version(), "disk");
        }
    }

    /** Marks an adapter as loaded, or removes it if its load crashed. */
    synchronized void finishAdapterLoad(Replica replica, String adapter, boolean crashed) {
        Replica.Adapter existing = replica.adapters().get(adapter);
        if (existing == null) {
            return;
        }
        if (crashed) {
            replica.adapters().remove(adapter);
        } else {
            existing.loaded = true;
        }
    }

    /** Stops admitting requests for a model, waits for those in flight to finish and frees its memory. */
    synchronized void unload(ModelVersion version) throws InterruptedException {
        Replica replica = replicas.get(version);
        if (replica == null) {
            return;
        }
        if (replica.state() == Replica.State.FAILED) {
            replicas.remove(version);
            return;
        }
        boolean wasLoaded = replica.state() == Replica.State.LOADED;
        removedReplicasIdleMs += wasLoaded ? replica.idleMs(System.nanoTime()) : 0;
        replica.markUnloading();
        replica.progress().cancel();
        while (replica.inFlight() > 0) {
            wait();
        }
        if (replicas.remove(version, replica)) {
            replicaTracker.recordRemoved(version.model());
            if (wasLoaded) {
                cachedPlaces.put(version, "memory");
            }
        }
        notifyAll();
    }

    /** Frees the memory of an adapter; does nothing if it is not present. */
    synchronized void unloadAdapter(ModelVersion version, String adapter) {
        Replica replica = replicas.get(version);
        if (replica != null) {
            replica.adapters().remove(adapter);
        }
    }

    /**
     * Starts a request, which keeps the model from being unloaded until {@link #endRequest}.
     *
     * @param version base model
     * @param adapter name of the adapter, null for none
     * @return replica that serves the request, or empty if the model or the adapter is not loaded
     */
    synchronized Optional<Replica> beginRequest(ModelVersion version, String adapter) {
        Replica replica = replicas.get(version);
        if (replica == null || !replica.serves(adapter)) {
            return Optional.empty();
        }
        replica.requestStarted(System.nanoTime());
        return Optional.of(replica);
    }

    /** Ends a request that {@link #beginRequest} started. */
    synchronized void endRequest(Replica replica) {
        replica.requestEnded(System.nanoTime());
        notifyAll();
    }

    /** Drops all models and the fencing token, as the death of the engine process does; cached checkpoints stay. */
    synchronized void clear() {
        for (Replica replica : replicas.values()) {
            removedReplicasIdleMs += replica.idleMs(System.nanoTime());
            replica.progress().cancel();
            if (replica.state() != Replica.State.FAILED) {
                replicaTracker.recordRemoved(replica.version().model());
            }
        }
        replicas.clear();
        highestFencingToken = 0;
    }

    /** Records that a checkpoint is on the host's disk. */
    synchronized void addToDiskCache(ModelVersion version) {
        cachedPlaces.put(version, "disk");
    }

    /** Returns where the host caches a checkpoint: {@code memory}, {@code disk}, or {@code remote} if it does not. */
    synchronized String cachedPlace(ModelVersion version) {
        return cachedPlaces.getOrDefault(version, "remote");
    }

    synchronized long usedBytes() {
        return replicas.values().stream().mapToLong(Replica::usedBytes).sum();
    }

    synchronized long highestFencingToken() {
        return highestFencingToken;
    }

    synchronized long highWaterBytes() {
        return highWaterBytes;
    }

    /** Returns the time that replicas were loaded without a request, summed over all present and past ones. */
    synchronized long totalIdleMs() {
        long now = System.nanoTime();
        return removedReplicasIdleMs
                + replicas.values().stream()
                        .filter(replica -> replica.state() == Replica.State.LOADED)
                        .mapToLong(replica -> replica.idleMs(now))
                        .sum();
    }

    synchronized List<ModelBody> modelBodies() {
        return replicas.values().stream().map(Replica::toBody).toList();
    }

    synchronized List<CachedBody> cachedBodies() {
        return cachedPlaces.entrySet().stream()
                .map(entry -> new CachedBody(
                        entry.getKey().model(),
                        entry.getKey().version(),
                        entry.getValue().toLowerCase(Locale.ROOT)))
                .toList();
    }

    private void updateHighWater() {
        highWaterBytes = Math.max(highWaterBytes, usedBytes());
    }
}
