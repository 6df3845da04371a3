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

/** Accelerator memory of one engine: what is loaded, what it takes, and the highest fencing number seen. */
final class EngineMemory {
    private final long memoryBytes;
    private final boolean fencing;
    private final ReplicaTracker replicaTracker;
    private final Map<ModelVersion, Replica> replicas = new TreeMap<>();
    private final Map<ModelVersion, String> cachedPlaces = new TreeMap<>();
    private long highestFencingToken;
    private long highWaterBytes;
    private long removedReplicasIdleMs;

    EngineMemory(long memoryBytes, boolean fencing, ReplicaTracker replicaTracker) {
        this.memoryBytes = memoryBytes;
        this.fencing = fencing;
        this.replicaTracker = replicaTracker;
    }

    /** LoadDecision on an order. */
    enum LoadDecision {
        /** A load begins. */
        ACCEPTED,
        /** A load is in progress. */
        IN_PROGRESS,
        /** OrderStatus already. */
        DONE,
        /** Old fencing number. */
        FENCED,
        /** Too little memory. */
        NO_MEMORY,
        /** The model is being unloaded. */
        UNLOADING,
        /** An adapter without its base loaded. */
        NO_BASE
    }

    /** Checks a fencing number; raises the highest seen. */
    synchronized boolean acceptFencingToken(long token) {
        if (fencing && token < highestFencingToken) {
            return false;
        }
        highestFencingToken = Math.max(highestFencingToken, token);
        return true;
    }

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

    synchronized Optional<Replica> replica(ModelVersion version) {
        return Optional.ofNullable(replicas.get(version));
    }

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

    /** Waits for the requests of a model to finish and frees its memory. */
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

    synchronized void unloadAdapter(ModelVersion version, String adapter) {
        Replica replica = replicas.get(version);
        if (replica != null) {
            replica.adapters().remove(adapter);
        }
    }

    /** Takes a place for a request if model and adapter are loaded. */
    synchronized Optional<Replica> beginRequest(ModelVersion version, String adapter) {
        Replica replica = replicas.get(version);
        if (replica == null || !replica.serves(adapter)) {
            return Optional.empty();
        }
        replica.requestStarted(System.nanoTime());
        return Optional.of(replica);
    }

    synchronized void endRequest(Replica replica) {
        replica.requestEnded(System.nanoTime());
        notifyAll();
    }

    /** Drops everything, as the death of the process does. */
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

    synchronized void addToDiskCache(ModelVersion version) {
        cachedPlaces.put(version, "disk");
    }

    /** Returns where the host keeps a checkpoint, {@code remote} where it does not. */
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
