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

/** Sends orders to the engine of one owned runner and keeps book of them. */
final class EngineCaller {
    private static final EventLog LOG = EventLog.of(EngineCaller.class);
    private static final long MAX_ADAPTER_LOAD_NANOS = 5_000_000_000L;
    /** Name that no model bears: unloading it changes nothing but the fencing number that the engine has seen. */
    private static final ModelVersion NO_MODEL = ModelVersion.of("persimmon-fence", "0");

    private final RunnerPorts ports;
    private final EngineBook book;
    private final Consumer<Runnable> mailbox;
    private final Map<LoadKey, LimitShare.Permit> permits = new HashMap<>();
    private final Map<LoadKey, Long> orderedNanos = new HashMap<>();

    EngineCaller(RunnerPorts ports, EngineBook book, Consumer<Runnable> mailbox) {
        this.ports = ports;
        this.book = book;
        this.mailbox = mailbox;
    }

    /** Returns whether an engine may still run: it answers, or the call may have reached it. */
    static boolean isReachable(EngineOrders engines, Host host) {
        try {
            engines.state(host.address());
            return true;
        } catch (EngineException e) {
            return !(e.getCause() instanceof HttpFailure failure) || failure.sent();
        }
    }

    void inspect(Host host) throws EngineException {
        book.inspected(ports.engines().state(host.address()));
        noteLoadTimes();
        for (LoadKey key : List.copyOf(permits.keySet())) {
            if (!isFetching(key)) {
                releasePermit(key);
            }
        }
    }

    /** Tells the idle policy how long each load that is now loaded took; forgets those that failed. */
    private void noteLoadTimes() {
        for (LoadKey key : List.copyOf(orderedNanos.keySet())) {
            if (isFetching(key)) {
                continue;
            }
            long tookNanos = ports.time().nanoTime() - orderedNanos.remove(key);
            if (book.holds(key)) {
                ports.idleModels().loaded(key, TimeUnit.NANOSECONDS.toMillis(tookNanos));
            }
        }
    }

    /** Returns whether a load may still be in progress; an engine does not show adapters that it is loading. */
    private boolean isFetching(LoadKey key) {
        if (key.adapter().isEmpty() || book.isLoading(key)) {
            return book.isLoading(key);
        }
        long ageNanos = ports.time().nanoTime()
                - orderedNanos.getOrDefault(key, ports.time().nanoTime());
        return book.holds(key.base()) && !book.holds(key) && ageNanos < MAX_ADAPTER_LOAD_NANOS;
    }

    /** Returns whether a load was ordered whose end was not seen yet. */
    boolean isFetching() {
        return !orderedNanos.isEmpty();
    }

    private void releasePermit(LoadKey key) {
        LimitShare.Permit permit = permits.remove(key);
        if (permit != null) {
            ports.storePermits().release(key, permit);
        }
    }

    /** Gives the permits of all loads back when the runner is no longer this node's. */
    void releasePermits() {
        List.copyOf(permits.keySet()).forEach(this::releasePermit);
    }

    /** Returns whether the store's limits allow the load now; a checkpoint on the host needs none of them. */
    boolean mayFetch(LoadKey key) {
        boolean remote = key.adapter().isPresent() || book.source(key.model()) == CheckpointPlace.REMOTE;
        if (!remote || permits.containsKey(key)) {
            return true;
        }
        Optional<LimitShare.Permit> permit = ports.storePermits().tryAcquire(key);
        permit.ifPresent(held -> permits.put(key, held));
        return permit.isPresent();
    }

    /** Sends the first order of an epoch, after which the engine refuses all orders of earlier ones. */
    void fence(Host host, OwnedRunner owned) throws EngineException {
        ports.engines().unload(host.address(), UnloadOrder.ofBase(NO_MODEL, owned.epoch()));
        inspect(host);
        if (book.state().orElseThrow().fence() >= owned.epoch()) {
            ports.grants().confirmFenced(owned.runner());
            book.fenced();
        }
    }

    /** Orders a load and says what became of the order. */
    LoadAnswer load(Host host, OwnedRunner owned, LoadKey key, long bytes) {
        CheckpointPlace source = book.source(key.model());
        LoadOrder order = key.adapter()
                .map(adapter -> LoadOrder.ofAdapter(key.model(), adapter, owned.epoch()))
                .orElseGet(() -> LoadOrder.ofBase(key.model(), owned.epoch(), source));
        book.reserve(key, bytes);
        orderedNanos.put(key, ports.time().nanoTime());
        LOG.write(CoordinatorEvent.LOAD_ORDERED, owned.runner(), key, source);
        return switch (ports.engines().load(host.address(), order)) {
            case LoadOutcome.Accepted accepted -> underway(host, owned, key);
            case LoadOutcome.Loaded loaded -> LoadAnswers.of(LoadResult.LOADED, owned.runner());
            case LoadOutcome.NoMemory none ->
                withoutEffect(owned, key, LoadResult.REFUSED_MEMORY, "the engine has no memory");
            case LoadOutcome.Fenced fenced ->
                withoutEffect(owned, key, LoadResult.REFUSED_OWNER, "the engine has seen epoch " + fenced.fence());
            case LoadOutcome.Refused refused -> withoutEffect(owned, key, LoadResult.REFUSED_FAILED, refused.detail());
            case LoadOutcome.NotSent notSent -> withoutEffect(owned, key, LoadResult.REFUSED_FAILED, notSent.detail());
            case LoadOutcome.Unknown unknown -> unknown(owned, key, bytes, unknown.detail());
        };
    }

    private LoadAnswer underway(Host host, OwnedRunner owned, LoadKey key) {
        LoadAnswer answer = LoadAnswers.of(LoadResult.LOADING, owned.runner());
        try {
            inspect(host);
            book.state().orElseThrow().model(key.model()).ifPresent(model -> answer.setReadyInMs(model.readyInMs()));
        } catch (EngineException e) {
            LOG.write(CoordinatorEvent.ENGINE_FAILED, owned.runner(), e.getMessage());
        }
        return answer;
    }

    private LoadAnswer withoutEffect(OwnedRunner owned, LoadKey key, LoadResult result, String reason) {
        book.release(key);
        orderedNanos.remove(key);
        releasePermit(key);
        LOG.write(CoordinatorEvent.LOAD_FAILED, owned.runner(), key, reason);
        return LoadAnswers.refusal(result, owned.runner(), reason);
    }

    private LoadAnswer unknown(OwnedRunner owned, LoadKey key, long bytes, String reason) {
        book.quarantine(key, bytes);
        LOG.write(CoordinatorEvent.LOAD_FAILED, owned.runner(), key, "no answer: " + reason);
        return LoadAnswers.refusal(LoadResult.REFUSED_FAILED, owned.runner(), "no answer: " + reason);
    }

    /** Begins to unload on a thread of its own, because the engine finishes requests in progress first. */
    void unload(Host host, OwnedRunner owned, LoadKey key, String reason) {
        if (book.isUnloading(key) || book.isUnloading(key.base())) {
            return;
        }
        book.unloadBegins(key);
        UnloadOrder order = key.adapter()
                .map(adapter -> UnloadOrder.ofAdapter(key.model(), adapter, owned.epoch()))
                .orElseGet(() -> UnloadOrder.ofBase(key.model(), owned.epoch()));
        Thread.ofVirtual().name("unload-" + key).start(() -> {
            UnloadOutcome outcome = ports.engines().unload(host.address(), order);
            mailbox.accept(() -> unloadEnded(owned, key, reason, outcome));
        });
    }

    private void unloadEnded(OwnedRunner owned, LoadKey key, String reason, UnloadOutcome outcome) {
        book.unloadEnds(key);
        if (outcome instanceof UnloadOutcome.Unloaded) {
            LOG.write(CoordinatorEvent.UNLOADED, owned.runner(), key, reason);
            ports.history().unloaded(key, occurrence(owned, reason));
        } else {
            LOG.write(CoordinatorEvent.UNLOAD_FAILED, owned.runner(), key, outcome);
        }
    }

    private LoadHistory.Occurrence occurrence(OwnedRunner owned, String reason) {
        return new LoadHistory.Occurrence(ports.time().currentTimeMillis(), "on " + owned.runner() + ": " + reason);
    }
}
