package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Preloads of one runner, which no request waits for. They never evict a model, take a new slot or precede a pending
 * load. A preload that cannot start at once waits briefly for a permit of the weight store. Confined to the agent's
 * thread.
 */
final class PreloadQueue {
    private static final long MAX_PERMIT_WAIT_NANOS = 2_000_000_000L;

    /**
     * Preload that was not answered yet.
     *
     * @param key model to be loaded
     * @param holdMs time for which it stays loaded without requests
     * @param sizes accelerator memory that it takes
     * @param deadlineNanos monotonic time at which it is refused if no permit is free
     * @param answer completed once the load was ordered or refused
     */
    private record PendingPreload(
            LoadKey key, long holdMs, LoadSizes sizes, long deadlineNanos, CompletableFuture<LoadAnswer> answer) {}

    private final String runner;
    private final RunnerAgentContext context;
    private final EngineTracker tracker;
    private final EngineClient engineClient;
    private final ModelUsage usage;
    private final List<PendingPreload> pendingPreloads = new ArrayList<>();

    PreloadQueue(
            String runner,
            RunnerAgentContext context,
            EngineTracker tracker,
            EngineClient engineClient,
            ModelUsage usage) {
        this.runner = runner;
        this.context = context;
        this.tracker = tracker;
        this.engineClient = engineClient;
        this.usage = usage;
    }

    void add(LoadKey key, long holdMs, LoadSizes sizes, CompletableFuture<LoadAnswer> answer) {
        pendingPreloads.add(
                new PendingPreload(key, holdMs, sizes, context.time().nanoTime() + MAX_PERMIT_WAIT_NANOS, answer));
    }

    boolean isEmpty() {
        return pendingPreloads.isEmpty();
    }

    /**
     * Orders the preloads that need neither eviction nor a new slot, keeps those that lack only a permit, and refuses
     * the others.
     *
     * @param host entry of the runner in the host list
     * @param owned slots and epoch of the runner
     * @param noLoadPending whether no load request is pending on the runner
     * @param closed tests whether the runner accepts no new loads of a model
     */
    void process(Host host, OwnedRunner owned, boolean noLoadPending, Predicate<ModelVersion> closed) {
        pendingPreloads.removeIf(preload -> {
            Optional<LoadAnswer> answer = tryPreload(host, owned, preload, noLoadPending, closed);
            answer.ifPresent(preload.answer()::complete);
            return answer.isPresent();
        });
    }

    /** Returns the answer to a preload, or empty while it waits for a permit. */
    private Optional<LoadAnswer> tryPreload(
            Host host,
            OwnedRunner owned,
            PendingPreload preload,
            boolean noLoadPending,
            Predicate<ModelVersion> closed) {
        ModelVersion model = preload.key().model();
        Optional<EngineModel> present = tracker.state().orElseThrow().model(model);
        if (present.isPresent()) {
            return Optional.of(holdPresent(preload, present.get()));
        }
        if (!owned.slots().contains(model) || closed.test(model)) {
            return refusal(LoadResult.REFUSED_CAP, "the runner has no slot that it may use");
        }
        if (!noLoadPending) {
            return refusal(LoadResult.REFUSED_STORE, "a demand waits for the runner");
        }
        if (tracker.freeBytes() < preload.sizes().baseBytes()) {
            return refusal(LoadResult.REFUSED_MEMORY, "room for " + tracker.freeBytes() + " bytes");
        }
        if (!engineClient.tryAcquirePermit(preload.key())) {
            boolean expired = context.time().nanoTime() - preload.deadlineNanos() > 0;
            return expired ? refusal(LoadResult.REFUSED_STORE, "no permit is free") : Optional.empty();
        }
        usage.extendHold(preload.key(), preload.holdMs());
        return Optional.of(
                engineClient.load(host, owned, preload.key(), preload.sizes().baseBytes()));
    }

    /** Extends the hold of a model that the engine already has. */
    private LoadAnswer holdPresent(PendingPreload preload, EngineModel present) {
        if (present.state() == ModelState.UNLOADING || tracker.isUnloading(preload.key())) {
            return LoadAnswers.refusal(LoadResult.REFUSED_MEMORY, runner, "it is being unloaded");
        }
        usage.extendHold(preload.key(), preload.holdMs());
        return LoadAnswers.of(LoadResult.LOADED, runner);
    }

    private Optional<LoadAnswer> refusal(LoadResult result, String reason) {
        return Optional.of(LoadAnswers.refusal(result, runner, reason));
    }

    /** Refuses all preloads because this node no longer owns the runner. */
    void refuseAll(String reason) {
        pendingPreloads.forEach(
                preload -> preload.answer().complete(LoadAnswers.refusal(LoadResult.REFUSED_OWNER, runner, reason)));
        pendingPreloads.clear();
    }
}
