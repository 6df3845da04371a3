package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Pending loads of one runner, processed by earliest deadline. A load stays queued until it was ordered, refused or has
 * expired; its answer may be completed before that. A load that was accepted keeps the memory that it will take, so
 * later loads must fit beside it. Confined to the agent's thread.
 */
final class LoadQueue {
    private static final EventLog LOG = EventLog.of(LoadQueue.class);
    private final String runner;
    private final RunnerAgentContext context;
    private final EngineTracker tracker;
    private final EngineClient engineClient;
    private final RunnerSlots slots;
    private final ModelUsage usage;
    private final List<PendingLoad> pendingLoads = new ArrayList<>();

    LoadQueue(
            String runner,
            RunnerAgentContext context,
            EngineTracker tracker,
            EngineClient engineClient,
            RunnerSlots slots,
            ModelUsage usage) {
        this.runner = runner;
        this.context = context;
        this.tracker = tracker;
        this.engineClient = engineClient;
        this.slots = slots;
        this.usage = usage;
    }

    void add(PendingLoad load) {
        pendingLoads.add(load);
    }

    boolean isEmpty() {
        return pendingLoads.isEmpty();
    }

    /** Returns whether a load of the model version or of an adapter on it is pending. */
    boolean hasPendingLoad(ModelVersion model) {
        return pendingLoads.stream().anyMatch(load -> load.key().model().equals(model));
    }

    /**
     * Advances every pending load as far as possible now: grants its slot, evicts idle models, orders the load.
     *
     * @param host entry of the runner in the host list
     * @param closed tests whether the runner accepts no new loads of a model
     */
    void process(Host host, Predicate<ModelVersion> closed) {
        pendingLoads.sort(Comparator.comparingLong(PendingLoad::deadlineNanos));
        for (PendingLoad load : List.copyOf(pendingLoads)) {
            Optional<OwnedRunner> owned = slots.owned();
            if (owned.isEmpty() || refuseIfExpiredOrClosed(load, closed) || advance(host, owned.get(), load)) {
                pendingLoads.remove(load);
            }
        }
    }

    /** Refuses all pending loads because this node no longer owns the runner. */
    void refuseAll(String reason) {
        pendingLoads.forEach(load -> load.complete(LoadAnswers.refusal(LoadResult.REFUSED_OWNER, runner, reason)));
    }

    /** Refuses a load that has expired or whose model is closed for new loads; returns whether it did. */
    private boolean refuseIfExpiredOrClosed(PendingLoad load, Predicate<ModelVersion> closed) {
        if (context.time().nanoTime() - load.deadlineNanos() > 0) {
            load.complete(expiryRefusal(load));
            return true;
        }
        if (closed.test(load.key().model())) {
            load.complete(LoadAnswers.refusal(LoadResult.REFUSED_CAP, runner, "the runner takes no new loads"));
            return true;
        }
        return false;
    }

    /** Returns the refusal of an expired load: {@code REFUSED_STORE} if enough memory is free, else for memory. */
    private LoadAnswer expiryRefusal(PendingLoad load) {
        boolean basePresent = tracker.holds(load.key().base());
        LoadSizes sizes = load.sizes();
        long needed = basePresent ? sizes.adapterBytes() : sizes.baseBytes();
        boolean memorySuffices = tracker.holds(load.key()) || tracker.freeBytes() >= needed;
        return memorySuffices
                ? LoadAnswers.refusal(LoadResult.REFUSED_STORE, runner, "the weight store did not deliver in time")
                : LoadAnswers.refusal(LoadResult.REFUSED_MEMORY, runner, "no room in time");
    }

    /** Advances a load; returns whether it is finished and leaves the queue. */
    private boolean advance(Host host, OwnedRunner owned, PendingLoad load) {
        ModelVersion model = load.key().model();
        Optional<EngineModel> present = tracker.state().orElseThrow().model(model);
        if (present.isPresent()) {
            return advancePresent(host, owned, load, present.get());
        }
        Optional<LoadAnswer> refusal = slots.ensureGranted(owned, model);
        if (refusal.isPresent()) {
            load.complete(refusal.get());
            return true;
        }
        LoadKey base = load.key().base();
        if (tracker.freeBytes() < load.sizes().baseBytes() + heldBytes(load)) {
            return !makeRoom(host, owned, load, load.sizes().baseBytes());
        }
        if (!engineClient.tryAcquirePermit(base)) {
            return keepQueuedForStore(load);
        }
        LoadAnswer answer = engineClient.load(host, owned, base, load.sizes().baseBytes());
        load.complete(answer);
        return load.key().adapter().isEmpty() || answer.getResult() != LoadResult.LOADING;
    }

    /** Answers that the load is queued and keeps it there until the weight store's limits allow it. */
    private boolean keepQueuedForStore(PendingLoad load) {
        load.complete(LoadAnswers.of(LoadResult.LOADING, runner));
        return false;
    }

    /** Advances a load whose base model the engine already has; returns whether it is finished. */
    private boolean advancePresent(Host host, OwnedRunner owned, PendingLoad load, EngineModel present) {
        LoadKey key = load.key();
        if (present.state() == ModelState.UNLOADING || tracker.isUnloading(key.base())) {
            return false;
        }
        if (present.state() == ModelState.LOADED && tracker.holds(key)) {
            usage.recordUse(key, 0);
            load.complete(LoadAnswers.of(LoadResult.LOADED, runner));
            return true;
        }
        if (present.state() == ModelState.LOADED) {
            return loadAdapter(host, owned, load);
        }
        LoadAnswer answer = LoadAnswers.of(LoadResult.LOADING, runner);
        answer.setReadyInMs(present.readyInMs());
        load.complete(answer);
        return key.adapter().isEmpty();
    }

    private boolean loadAdapter(Host host, OwnedRunner owned, PendingLoad load) {
        LoadKey key = load.key();
        usage.recordUse(key.base(), 0);
        if (tracker.freeBytes() < load.sizes().adapterBytes() + heldBytes(load)) {
            return !makeRoom(host, owned, load, load.sizes().adapterBytes());
        }
        if (!engineClient.tryAcquirePermit(key)) {
            return keepQueuedForStore(load);
        }
        load.complete(engineClient.load(host, owned, key, load.sizes().adapterBytes()));
        return true;
    }

    /** Starts to unload idle models for a load; returns false if that frees too little, so the load is refused. */
    private boolean makeRoom(Host host, OwnedRunner owned, PendingLoad load, long bytes) {
        EvictionPlan plan = EvictionPlan.of(tracker, usage, bytes + heldBytes(load), this);
        if (!plan.suffices()) {
            if (load.isAccepted()) {
                LOG.write(CoordinatorEvent.LOAD_FAILED, runner, load.key(), plan.reason());
            }
            load.complete(LoadAnswers.refusal(LoadResult.REFUSED_MEMORY, runner, plan.reason()));
            return false;
        }
        plan.victims().forEach(victim -> engineClient.unload(host, owned, victim, "room is needed for " + load.key()));
        load.complete(LoadAnswers.of(LoadResult.LOADING, runner));
        return true;
    }

    /**
     * Returns the bytes that other accepted loads will take and that the tracker does not count yet. For an accepted
     * load only those before it in the queue count.
     */
    private long heldBytes(PendingLoad load) {
        int end = load.isAccepted() ? pendingLoads.indexOf(load) : pendingLoads.size();
        Map<LoadKey, Long> bytesByKey = new HashMap<>();
        for (PendingLoad other : pendingLoads.subList(0, end)) {
            if (other.isAccepted()) {
                bytesByKey.put(other.key(), other.sizes().adapterBytes());
                bytesByKey.put(other.key().base(), other.sizes().baseBytes());
            }
        }
        bytesByKey.keySet().removeIf(key -> tracker.holds(key) || tracker.isLoading(key));
        bytesByKey.remove(load.key());
        bytesByKey.remove(load.key().base());
        return bytesByKey.values().stream().mapToLong(Long::longValue).sum();
    }
}
