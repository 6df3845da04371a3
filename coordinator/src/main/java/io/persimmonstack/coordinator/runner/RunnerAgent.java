package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineException;
import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.gen.LoadAnswer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Controls one owned runner: orders its loads by earliest deadline, unloads idle models, gives slots back and hands the
 * runner over. Public methods are thread-safe: they post messages to a single thread, which does everything that
 * depends on the engine's state, so that all decisions on memory are made in one place.
 */
public final class RunnerAgent implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(RunnerAgent.class);
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int BUSY_INSPECT_INTERVAL_MS = 100;
    private static final long JOIN_TIMEOUT_MS = 1_000;

    private final RunnerAgentContext context;
    private final String runner;
    private final LinkedBlockingQueue<Runnable> mailbox = new LinkedBlockingQueue<>();
    private final EngineTracker tracker = new EngineTracker();
    private final RunnerSlots slots;
    private final EngineClient engineClient;
    private final StatusAnnouncer announcer;
    private final ModelUsage usage;
    private final LoadQueue loadQueue;
    private final PreloadQueue preloadQueue;
    /** Slots to be given back once their models are unloaded. */
    private final Set<ModelVersion> retiringSlots = new HashSet<>();

    private final Thread thread;
    private final long ownedSinceMs;
    private volatile Host host;
    private final AtomicReference<CompletableFuture<Optional<String>>> handOver =
            new AtomicReference<>(CompletableFuture.completedFuture(Optional.empty()));
    private volatile boolean draining;
    private volatile boolean hostLeaving;
    private volatile boolean ended;
    private long lastInspectionNanos;

    private RunnerAgent(RunnerAgentContext context, Host host) {
        this.context = context;
        this.runner = host.name();
        this.host = host;
        this.slots = new RunnerSlots(context, host.name());
        this.engineClient = new EngineClient(context, tracker, this::post);
        this.announcer = new StatusAnnouncer(context.self(), context.announce());
        this.usage = new ModelUsage(context.demandTracker(), context.time());
        this.loadQueue = new LoadQueue(runner, context, tracker, engineClient, slots, usage);
        this.preloadQueue = new PreloadQueue(runner, context, tracker, engineClient, usage);
        this.lastInspectionNanos = context.time().nanoTime();
        this.ownedSinceMs = context.time().currentTimeMillis();
        this.thread = Thread.ofVirtual().name("runner-" + runner).unstarted(this::run);
    }

    /**
     * Starts the agent of a runner that this process owns.
     *
     * @param context dependencies that all agents share
     * @param host entry of the runner in the host list
     * @param draining whether the runner was being drained under its former owner
     * @return the agent
     */
    public static RunnerAgent start(RunnerAgentContext context, Host host, boolean draining) {
        RunnerAgent agent = new RunnerAgent(context, host);
        agent.draining = draining;
        agent.thread.start();
        return agent;
    }

    /** Returns the name of the runner. */
    public String runner() {
        return runner;
    }

    /** Returns the wall-clock time in milliseconds since when this process has owned the runner. */
    public long ownedSinceMs() {
        return ownedSinceMs;
    }

    /** Returns whether the agent has ended: the runner was handed over or lost, or the agent was closed. */
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Requests a load.
     *
     * @param key model or adapter to be loaded
     * @param slackMs time until the most urgent waiting request expires
     * @param sizes accelerator memory that the load takes
     * @return completed once the load was ordered, has to wait in the queue, or was refused
     */
    public CompletableFuture<LoadAnswer> load(LoadKey key, long slackMs, LoadSizes sizes) {
        long deadline = context.time().nanoTime() + Math.max(0, slackMs) * NANOS_PER_MS;
        PendingLoad pendingLoad = new PendingLoad(key, deadline, sizes, new CompletableFuture<>());
        post(() -> loadQueue.add(pendingLoad));
        return pendingLoad.answer();
    }

    /**
     * Requests a load that no request waits for. It uses only a slot that the runner has, free memory, and a permit of
     * the weight store that no waiting load on this runner needs.
     *
     * @param key base model to be loaded
     * @param holdMs time for which it stays loaded without requests
     * @param sizes accelerator memory that the load takes
     * @return completed once the load was ordered or refused
     */
    public CompletableFuture<LoadAnswer> preload(LoadKey key, long holdMs, LoadSizes sizes) {
        CompletableFuture<LoadAnswer> answer = new CompletableFuture<>();
        post(() -> preloadQueue.add(key, holdMs, sizes, answer));
        return answer;
    }

    /**
     * Records requests for a model or adapter, which restarts its idle time.
     *
     * @param key model or adapter that was used
     * @param agoMs age of the newest request
     */
    public void recordUse(LoadKey key, long agoMs) {
        usage.recordUse(key, agoMs);
    }

    /** Unloads the models of slots that exceed the replica cap, and gives the slots back once that is done. */
    public void retireSlots(List<ModelVersion> surplusSlots) {
        post(() -> retiringSlots.addAll(surplusSlots));
    }

    /** Gives back one unused slot of any version of a model; returns whether there was one. */
    public CompletableFuture<Boolean> releaseIdleSlot(String model) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        post(() -> result.complete(tryReleaseIdleSlot(model)));
        return result;
    }

    /** Grants the runner a slot ahead of demand, unless it has it already; returns whether it has the slot. */
    public CompletableFuture<Boolean> grantSlot(ModelVersion slot) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        post(() -> result.complete(
                owned().filter(held -> slots.ensureGranted(held, slot).isEmpty())
                        .isPresent()));
        return result;
    }

    /**
     * Hands the runner over unless loads or orders are in flight. Returns the result of an attempt already in progress,
     * if there is one.
     *
     * @return the reason for a refusal, or empty if the runner was handed over
     */
    public CompletableFuture<Optional<String>> handOver() {
        CompletableFuture<Optional<String>> result = new CompletableFuture<>();
        CompletableFuture<Optional<String>> attempt =
                handOver.updateAndGet(earlier -> earlier.isDone() ? result : earlier);
        if (attempt == result) {
            post(() -> result.complete(tryHandOver()));
        }
        return attempt;
    }

    /**
     * Updates the runner's entry in the host list.
     *
     * @param entry current entry
     * @param leavingOrGone whether the entry says that the runner is leaving or gone
     */
    public void updateHost(Host entry, boolean leavingOrGone) {
        boolean changed = hostLeaving != leavingOrGone;
        host = entry;
        hostLeaving = leavingOrGone;
        if (changed) {
            post(() -> {});
        }
    }

    /** Gives back all slots of a runner listed as gone and hands it over, if its engine is unreachable. */
    public void releaseIfUnreachable() {
        post(this::releaseGoneRunner);
    }

    /** Sets whether the runner is drained, so that it accepts no new work. */
    public void setDraining(boolean leaving) {
        draining = leaving;
        post(() -> {});
    }

    /** Queues a message for the agent's thread, which also wakes it; an empty message only wakes it. */
    private void post(Runnable message) {
        mailbox.add(message);
    }

    /** Loop of the agent's thread: ends once the runner is handed over or lost, or the agent is closed. */
    private void run() {
        try {
            while (!ended && !Thread.currentThread().isInterrupted()) {
                step();
                awaitMessages();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended = true;
            engineClient.releasePermits();
            refuseAll("the runner's owner has changed");
        }
    }

    /** Waits for a message until the next inspection is due, and runs all messages that have arrived. */
    private void awaitMessages() throws InterruptedException {
        long waitNanos = Math.max(0, inspectionDueNanos() - context.time().nanoTime());
        Runnable message = mailbox.poll(waitNanos, TimeUnit.NANOSECONDS);
        while (message != null) {
            message.run();
            message = mailbox.poll();
        }
    }

    /** Inspects the engine if that is due, acts on its state and announces the result. */
    private void step() {
        Optional<OwnedRunner> owned = owned();
        if (owned.isEmpty()) {
            LOG.write(CoordinatorEvent.RUNNER_LOST, runner, "another process owns it");
            ended = true;
            return;
        }
        if (tracker.isStale() || context.time().nanoTime() - inspectionDueNanos() >= 0) {
            inspect(owned.get());
        }
        if (!tracker.isStale() && owned().filter(OwnedRunner::mayOrder).isPresent()) {
            issueOrders(owned.get());
        }
        if (tracker.isStale()) {
            inspect(owned.get());
        }
        owned().ifPresent(held -> announcer.announceIfChanged(host, held, tracker, isLeaving()));
    }

    /** Orders the unloads and loads that the engine's state calls for, and gives back the slots of retired models. */
    private void issueOrders(OwnedRunner owned) {
        unloadModelsWithoutSlot(owned);
        loadQueue.process(host, this::isClosedForLoads);
        preloadQueue.process(host, owned, loadQueue.isEmpty(), this::isClosedForLoads);
        unloadIdleModels(owned);
        giveBackRetiredSlots();
    }

    /** Returns whether the runner accepts no new loads of a model: it is leaving or has to give the slot back. */
    private boolean isClosedForLoads(ModelVersion model) {
        return isLeaving() || retiringSlots.contains(model);
    }

    private Optional<OwnedRunner> owned() {
        return slots.owned();
    }

    private boolean isLeaving() {
        return draining || hostLeaving;
    }

    /** Returns the monotonic time of the next inspection, which is sooner while loads or orders are in progress. */
    private long inspectionDueNanos() {
        boolean waiting = !loadQueue.isEmpty() || !preloadQueue.isEmpty() || engineClient.hasLoadsInProgress();
        boolean busy = waiting || tracker.isStale() || tracker.hasOrdersInFlight();
        int interval = busy ? BUSY_INSPECT_INTERVAL_MS : context.inspectIntervalMs();
        return lastInspectionNanos + interval * NANOS_PER_MS;
    }

    /** Inspects the engine, and fences it or raises the epoch if needed. A failure is logged and retried later. */
    private void inspect(OwnedRunner owned) {
        lastInspectionNanos = context.time().nanoTime();
        try {
            engineClient.inspect(host);
            if (owned.phase() == OwnedRunner.Phase.FENCING) {
                engineClient.fence(host, owned);
            } else if (tracker.hasUnansweredOrders() && host.fencing()) {
                slots.refence();
            }
            usage.retainLoaded(loadedKeys());
        } catch (EngineException e) {
            LOG.write(CoordinatorEvent.ENGINE_FAILED, runner, e.getMessage());
        }
    }

    /** Returns the loaded models and adapters according to the last inspection. */
    private Set<LoadKey> loadedKeys() {
        Set<LoadKey> keys = new HashSet<>();
        for (EngineModel model : tracker.state().orElseThrow().models()) {
            if (model.state() == ModelState.LOADED) {
                keys.add(new LoadKey(model.version(), Optional.empty()));
                model.adapters().forEach(adapter -> keys.add(new LoadKey(model.version(), Optional.of(adapter))));
            }
        }
        return keys;
    }

    /** Unloads models for which the runner has no slot, as a previous owner may have left them. */
    private void unloadModelsWithoutSlot(OwnedRunner owned) {
        for (EngineModel model : tracker.state().orElseThrow().models()) {
            if (!owned.slots().contains(model.version()) && model.state() == ModelState.LOADED) {
                engineClient.unload(host, owned, new LoadKey(model.version(), Optional.empty()), "it has no slot");
            }
        }
    }

    /** Unloads models and adapters that have expired or whose slot is retired, unless a load for them is pending. */
    private void unloadIdleModels(OwnedRunner owned) {
        for (LoadKey key : loadedKeys()) {
            if (!loadQueue.hasPendingLoad(key.model())
                    && (usage.isExpired(key) || retiringSlots.contains(key.model()))) {
                engineClient.unload(host, owned, key, "idle for " + usage.idleMs(key) + " ms");
            }
        }
    }

    /** Gives back retired slots whose models are gone from the engine; later steps try the others again. */
    private void giveBackRetiredSlots() {
        for (ModelVersion slot : List.copyOf(retiringSlots)) {
            if (tracker.isClearOf(slot) && slots.giveBack(slot, "it exceeds the replica cap")) {
                retiringSlots.remove(slot);
            }
        }
    }

    /** Gives back a slot whose model version is neither on the engine nor pending; returns whether it did. */
    private boolean tryReleaseIdleSlot(String model) {
        Set<ModelVersion> held = owned().map(OwnedRunner::slots).orElse(Set.of());
        return held.stream()
                .filter(slot -> slot.model().equals(model) && tracker.isClearOf(slot))
                .filter(slot -> !loadQueue.hasPendingLoad(slot))
                .findFirst()
                .filter(slot -> slots.giveBack(slot, "another runner needs it"))
                .isPresent();
    }

    /** Hands the runner over if nothing is pending or in flight; returns the reason for a refusal. */
    private Optional<String> tryHandOver() {
        if (!loadQueue.isEmpty() || tracker.isStale() || tracker.hasOrdersInFlight()) {
            return Optional.of("orders are in flight");
        }
        Optional<String> refusal = slots.handOver();
        ended |= refusal.isEmpty();
        return refusal;
    }

    /** Gives back all slots of a runner that the host list reports as gone and whose engine is unreachable. */
    private void releaseGoneRunner() {
        if (owned().isEmpty() || EngineClient.isReachable(context.engines(), host)) {
            return;
        }
        boolean allGivenBack = true;
        for (ModelVersion slot : owned().orElseThrow().slots()) {
            allGivenBack &= slots.giveBack(slot, "the runner is gone");
        }
        if (allGivenBack && slots.handOver().isEmpty()) {
            ended = true;
        }
    }

    /** Runs the remaining messages, so that their requests are answered too, and refuses all queued loads. */
    private void refuseAll(String reason) {
        for (Runnable message = mailbox.poll(); message != null; message = mailbox.poll()) {
            message.run();
        }
        loadQueue.refuseAll(reason);
        preloadQueue.refuseAll(reason);
    }

    @Override
    public void close() {
        ended = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
