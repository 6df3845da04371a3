package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.CheckpointPlace;
import io.persimmonstack.backends.engine.EngineException;
import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.LoadOrder;
import io.persimmonstack.backends.engine.LoadOutcome;
import io.persimmonstack.backends.engine.UnloadOrder;
import io.persimmonstack.backends.engine.UnloadOutcome;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.limit.LimitShare;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends load and unload orders to the engine of one owned runner, records them in its {@link EngineTracker}, and holds
 * the weight store permits of its loads. Confined to the agent's thread, except for {@link #isReachable}.
 */
final class EngineClient {
    private static final EventLog LOG = EventLog.of(EngineClient.class);
    /**
     * An adapter that is not loaded after this time is taken to have failed: engines do not show adapters in progress.
     */
    private static final long MAX_ADAPTER_LOAD_NANOS = 5_000_000_000L;
    /** Name that no model has: ordering its unload only raises the fencing token that the engine has seen. */
    private static final ModelVersion FENCING_MODEL = ModelVersion.of("persimmon-fence", "0");

    private final RunnerAgentContext context;
    private final EngineTracker tracker;
    private final Consumer<Runnable> mailbox;
    private final Map<LoadKey, LimitShare.Permit> permits = new HashMap<>();
    private final Map<LoadKey, Long> orderedAtNanos = new HashMap<>();

    EngineClient(RunnerAgentContext context, EngineTracker tracker, Consumer<Runnable> mailbox) {
        this.context = context;
        this.tracker = tracker;
        this.mailbox = mailbox;
    }

    /** Returns whether an engine may still be running: it answers, or the failed call may have reached it. */
    static boolean isReachable(EngineOrders engines, Host host) {
        try {
            engines.state(host.address());
            return true;
        } catch (EngineException e) {
            return !(e.getCause() instanceof HttpFailure failure) || failure.sent();
        }
    }

    /**
     * Reads the engine's state into the tracker, records the durations of finished loads and releases their permits.
     *
     * @throws EngineException if the engine did not answer; nothing has changed
     */
    void inspect(Host host) throws EngineException {
        tracker.onInspected(context.engines().state(host.address()));
        recordLoadTimes();
        for (LoadKey key : List.copyOf(permits.keySet())) {
            if (!isLoading(key)) {
                releasePermit(key);
            }
        }
    }

    /** Reports the duration of each load that has finished to the demand tracker; drops those that failed. */
    private void recordLoadTimes() {
        for (LoadKey key : List.copyOf(orderedAtNanos.keySet())) {
            if (isLoading(key)) {
                continue;
            }
            long durationNanos = context.time().nanoTime() - orderedAtNanos.remove(key);
            if (tracker.holds(key)) {
                context.demandTracker().recordLoadTime(key, TimeUnit.NANOSECONDS.toMillis(durationNanos));
            }
        }
    }

    /**
     * Returns whether a load may still be in progress. Engines do not show adapters in progress, so the age of their
     * order decides.
     */
    private boolean isLoading(LoadKey key) {
        if (key.adapter().isEmpty() || tracker.isLoading(key)) {
            return tracker.isLoading(key);
        }
        long ageNanos = context.time().nanoTime()
                - orderedAtNanos.getOrDefault(key, context.time().nanoTime());
        return tracker.holds(key.base()) && !tracker.holds(key) && ageNanos < MAX_ADAPTER_LOAD_NANOS;
    }

    /** Returns whether a load was ordered whose end was not observed yet. */
    boolean hasLoadsInProgress() {
        return !orderedAtNanos.isEmpty();
    }

    private void releasePermit(LoadKey key) {
        LimitShare.Permit permit = permits.remove(key);
        if (permit != null) {
            context.storePermits().release(key, permit);
        }
    }

    /** Releases the permits of all loads when this node no longer owns the runner. */
    void releasePermits() {
        List.copyOf(permits.keySet()).forEach(this::releasePermit);
    }

    /**
     * Acquires a permit of the weight store for a load, unless the load holds one already or needs none because the
     * checkpoint is on the engine's host.
     *
     * @return whether the load may be ordered now
     */
    boolean tryAcquirePermit(LoadKey key) {
        boolean remote =
                key.adapter().isPresent() || tracker.nearestCheckpointPlace(key.model()) == CheckpointPlace.REMOTE;
        if (!remote || permits.containsKey(key)) {
            return true;
        }
        Optional<LimitShare.Permit> permit = context.storePermits().tryAcquire(key);
        permit.ifPresent(held -> permits.put(key, held));
        return permit.isPresent();
    }

    /**
     * Sends the first order of an epoch, after which the engine refuses all orders of earlier epochs.
     *
     * @throws EngineException if the inspection that follows got no answer; the runner is not marked as fenced
     */
    void fence(Host host, OwnedRunner owned) throws EngineException {
        context.engines().unload(host.address(), UnloadOrder.ofBase(FENCING_MODEL, owned.epoch()));
        inspect(host);
        if (tracker.state().orElseThrow().fence() >= owned.epoch()) {
            context.grants().confirmFenced(owned.runner());
            tracker.onFenced();
        }
    }

    /**
     * Orders a load from the engine and returns the answer to those that wait for it. Blocks until the engine answers.
     */
    LoadAnswer load(Host host, OwnedRunner owned, LoadKey key, long bytes) {
        CheckpointPlace source = tracker.nearestCheckpointPlace(key.model());
        LoadOrder order = key.adapter()
                .map(adapter -> LoadOrder.ofAdapter(key.model(), adapter, owned.epoch()))
                .orElseGet(() -> LoadOrder.ofBase(key.model(), owned.epoch(), source));
        tracker.reserve(key, bytes);
        orderedAtNanos.put(key, context.time().nanoTime());
        LOG.write(CoordinatorEvent.LOAD_ORDERED, owned.runner(), key, source);
        return switch (context.engines().load(host.address(), order)) {
            case LoadOutcome.Accepted accepted -> loadAccepted(host, owned, key);
            case LoadOutcome.Loaded loaded -> LoadAnswers.of(LoadResult.LOADED, owned.runner());
            case LoadOutcome.NoMemory none ->
                loadRejected(owned, key, LoadResult.REFUSED_MEMORY, "the engine has no memory");
            case LoadOutcome.Fenced fenced ->
                loadRejected(owned, key, LoadResult.REFUSED_OWNER, "the engine has seen epoch " + fenced.fence());
            case LoadOutcome.Refused refused -> loadRejected(owned, key, LoadResult.REFUSED_FAILED, refused.detail());
            case LoadOutcome.NotSent notSent -> loadRejected(owned, key, LoadResult.REFUSED_FAILED, notSent.detail());
            case LoadOutcome.Unknown unknown -> loadUnanswered(owned, key, bytes, unknown.detail());
        };
    }

    /** Returns the answer for an accepted order, with the predicted load time if the engine can be inspected. */
    private LoadAnswer loadAccepted(Host host, OwnedRunner owned, LoadKey key) {
        LoadAnswer answer = LoadAnswers.of(LoadResult.LOADING, owned.runner());
        try {
            inspect(host);
            tracker.state().orElseThrow().model(key.model()).ifPresent(model -> answer.setReadyInMs(model.readyInMs()));
        } catch (EngineException e) {
            LOG.write(CoordinatorEvent.ENGINE_FAILED, owned.runner(), e.getMessage());
        }
        return answer;
    }

    /**
     * Undoes the bookkeeping of an order that had no effect and returns the refusal. Memory and permit are kept for an
     * earlier order without an answer.
     */
    private LoadAnswer loadRejected(OwnedRunner owned, LoadKey key, LoadResult result, String reason) {
        if (tracker.release(key)) {
            orderedAtNanos.remove(key);
            releasePermit(key);
        }
        LOG.write(CoordinatorEvent.LOAD_FAILED, owned.runner(), key, reason);
        return LoadAnswers.refusal(result, owned.runner(), reason);
    }

    /** Keeps memory and permit of an order without an answer, which may still take effect, and returns a refusal. */
    private LoadAnswer loadUnanswered(OwnedRunner owned, LoadKey key, long bytes, String reason) {
        tracker.quarantine(key, bytes);
        LOG.write(CoordinatorEvent.LOAD_FAILED, owned.runner(), key, "no answer: " + reason);
        return LoadAnswers.refusal(LoadResult.REFUSED_FAILED, owned.runner(), "no answer: " + reason);
    }

    /**
     * Starts to unload a model or adapter, unless its unload or that of its base model is in flight. The order is sent
     * on a thread of its own, because the engine answers only after it has finished the requests in progress.
     */
    void unload(Host host, OwnedRunner owned, LoadKey key, String reason) {
        if (tracker.isUnloading(key) || tracker.isUnloading(key.base())) {
            return;
        }
        tracker.onUnloadStarted(key);
        UnloadOrder order = key.adapter()
                .map(adapter -> UnloadOrder.ofAdapter(key.model(), adapter, owned.epoch()))
                .orElseGet(() -> UnloadOrder.ofBase(key.model(), owned.epoch()));
        Thread.ofVirtual().name("unload-" + key).start(() -> {
            UnloadOutcome outcome = context.engines().unload(host.address(), order);
            mailbox.accept(() -> onUnloadFinished(owned, key, reason, outcome));
        });
    }

    private void onUnloadFinished(OwnedRunner owned, LoadKey key, String reason, UnloadOutcome outcome) {
        tracker.onUnloadFinished(key);
        if (outcome instanceof UnloadOutcome.Unloaded) {
            LOG.write(CoordinatorEvent.UNLOADED, owned.runner(), key, reason);
            context.history().recordUnloaded(key, occurrence(owned, reason));
        } else {
            LOG.write(CoordinatorEvent.UNLOAD_FAILED, owned.runner(), key, outcome);
        }
    }

    private LoadHistory.Occurrence occurrence(OwnedRunner owned, String reason) {
        return new LoadHistory.Occurrence(context.time().currentTimeMillis(), "on " + owned.runner() + ": " + reason);
    }
}
