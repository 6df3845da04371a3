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
 * Orders one owned runner: loads by least slack, unloads of idle models, hand-over. One thread does everything that
 * depends on the engine's state, so the sum of its memory is made in one place.
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
    private final Set<ModelVersion> retiring = new HashSet<>();
    private final Thread thread;
    private final long ownedSinceMs;
    private volatile Host host;
    private final AtomicReference<CompletableFuture<Optional<String>>> handOver =
            new AtomicReference<>(CompletableFuture.completedFuture(Optional.empty()));
    private volatile boolean draining;
    private volatile boolean hostLeaving;
    private volatile boolean ended;
    private long lastInspectNanos;

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
        this.lastInspectNanos = context.time().nanoTime();
        this.ownedSinceMs = context.time().currentTimeMillis();
        this.thread = Thread.ofVirtual().name("runner-" + runner).unstarted(this::run);
    }

    /**
     * Starts to order a runner that this process owns.
     *
     * @param context what the agents share
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

    /** Returns since when this process has owned the runner, wall-clock time. */
    public long ownedSinceMs() {
        return ownedSinceMs;
    }

    /** Returns whether the agent has ended: the runner was handed over or lost. */
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Asks for a load.
     *
     * @param key what is to be loaded
     * @param slackMs time until the most urgent waiting request is lost
     * @param sizes accelerator memory that the load takes
     * @return the answer, once the load was ordered, is queued or was refused
     */
    public CompletableFuture<LoadAnswer> load(LoadKey key, long slackMs, LoadSizes sizes) {
        long deadline = context.time().nanoTime() + Math.max(0, slackMs) * NANOS_PER_MS;
        PendingLoad pendingLoad = new PendingLoad(key, deadline, sizes, new CompletableFuture<>());
        post(() -> loadQueue.add(pendingLoad));
        return pendingLoad.answer();
    }

    /**
     * Asks for a load that nobody waits for. It takes only a slot that the runner has, memory that is free and a permit
     * of the weight store that no waiting load wants.
     *
     * @param key what is to be loaded
     * @param holdMs time for which it stays loaded without requests
     * @param sizes accelerator memory that the load takes
     * @return the answer, once the load was ordered or refused
     */
    public CompletableFuture<LoadAnswer> preload(LoadKey key, long holdMs, LoadSizes sizes) {
        CompletableFuture<LoadAnswer> answer = new CompletableFuture<>();
        post(() -> preloadQueue.add(key, holdMs, sizes, answer));
        return answer;
    }

    /**
     * Notes requests for a model or adapter.
     *
     * @param key what was used
     * @param agoMs age of the newest request
     */
    public void recordUse(LoadKey key, long agoMs) {
        usage.recordUse(key, agoMs);
    }

    /**
     * Gives slots back once their models are unloaded, which it orders.
     *
     * @param slots slots that the runner is to lose
     */
    public void retireSlots(List<ModelVersion> slots) {
        post(() -> retiring.addAll(slots));
    }

    /**
     * Gives an idle slot of a model back at once.
     *
     * @param model name of the model
     * @return whether a slot was given back
     */
    public CompletableFuture<Boolean> releaseIdleSlot(String model) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        post(() -> result.complete(tryReleaseIdleSlot(model)));
        return result;
    }

    /**
     * Gets a slot ahead of demand.
     *
     * @param slot model version that may be loaded from then on
     * @return whether the runner has the slot
     */
    public CompletableFuture<Boolean> grantSlot(ModelVersion slot) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        post(() -> result.complete(
                owned().filter(held -> slots.ensureGranted(held, slot).isEmpty())
                        .isPresent()));
        return result;
    }

    /**
     * Hands the runner over unless something is in flight; joins an attempt in progress.
     *
     * @return why it was refused, or empty where the runner was handed over
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
     * Takes note of the runner's entry in the host list.
     *
     * @param entry entry read now
     * @param leaves whether the list says that the runner leaves or is gone
     */
    public void updateHost(Host entry, boolean leaves) {
        boolean changed = hostLeaving != leaves;
        host = entry;
        hostLeaving = leaves;
        if (changed) {
            post(() -> {});
        }
    }

    /** Gives all slots back if the engine cannot be reached, after the host list said that the runner is gone. */
    public void releaseIfUnreachable() {
        post(this::releaseGoneRunner);
    }

    /**
     * Lets the runner take no new work, or take it again.
     *
     * @param leaving whether the runner is to take no new work
     */
    public void setDraining(boolean leaving) {
        draining = leaving;
        post(() -> {});
    }

    private void post(Runnable message) {
        mailbox.add(message);
    }

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

    private void awaitMessages() throws InterruptedException {
        long waitNanos = Math.max(0, inspectionDueNanos() - context.time().nanoTime());
        Runnable message = mailbox.poll(waitNanos, TimeUnit.NANOSECONDS);
        while (message != null) {
            message.run();
            message = mailbox.poll();
        }
    }

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
            processQueues(owned.get());
        }
        if (tracker.isStale()) {
            inspect(owned.get());
        }
        owned().ifPresent(held -> announcer.announceIfChanged(host, held, tracker, isLeaving()));
    }

    private void processQueues(OwnedRunner owned) {
        unloadModelsWithoutSlot(owned);
        loadQueue.serve(host, this::isClosedForLoads);
        preloadQueue.serve(host, owned, loadQueue.isEmpty(), this::isClosedForLoads);
        unloadIdle(owned);
        giveBackRetiredSlots();
    }

    private boolean isClosedForLoads(ModelVersion model) {
        return isLeaving() || retiring.contains(model);
    }

    private Optional<OwnedRunner> owned() {
        return slots.owned();
    }

    private boolean isLeaving() {
        return draining || hostLeaving;
    }

    private long inspectionDueNanos() {
        boolean waiting = !loadQueue.isEmpty() || !preloadQueue.isEmpty() || engineClient.hasLoadsInProgress();
        boolean busy = waiting || tracker.isStale() || tracker.hasOrdersInFlight();
        int interval = busy ? BUSY_INSPECT_INTERVAL_MS : context.inspectIntervalMs();
        return lastInspectNanos + interval * NANOS_PER_MS;
    }

    private void inspect(OwnedRunner owned) {
        lastInspectNanos = context.time().nanoTime();
        try {
            engineClient.inspect(host);
            if (owned.phase() == OwnedRunner.Phase.FENCING) {
                engineClient.fence(host, owned);
            } else if (tracker.hasUnansweredOrders() && host.epochs()) {
                slots.refence();
            }
            usage.retainLoaded(loadedKeys());
        } catch (EngineException e) {
            LOG.write(CoordinatorEvent.ENGINE_FAILED, runner, e.getMessage());
        }
    }

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

    /** Unloads what the predecessor left without a slot. */
    private void unloadModelsWithoutSlot(OwnedRunner owned) {
        for (EngineModel model : tracker.state().orElseThrow().models()) {
            if (!owned.slots().contains(model.version()) && model.state() == ModelState.LOADED) {
                engineClient.unload(host, owned, new LoadKey(model.version(), Optional.empty()), "it has no slot");
            }
        }
    }

    private void unloadIdle(OwnedRunner owned) {
        for (LoadKey key : loadedKeys()) {
            if (!loadQueue.hasPendingLoad(key.model()) && (usage.isExpired(key) || retiring.contains(key.model()))) {
                engineClient.unload(host, owned, key, "idle for " + usage.idleMs(key) + " ms");
            }
        }
    }

    private void giveBackRetiredSlots() {
        for (ModelVersion slot : List.copyOf(retiring)) {
            if (tracker.isClearOf(slot) && slots.giveBack(slot, "its runner is to lose it")) {
                retiring.remove(slot);
            }
        }
    }

    private boolean tryReleaseIdleSlot(String model) {
        Set<ModelVersion> held = owned().map(OwnedRunner::slots).orElse(Set.of());
        return held.stream()
                .filter(slot -> slot.model().equals(model) && tracker.isClearOf(slot))
                .filter(slot -> !loadQueue.hasPendingLoad(slot))
                .findFirst()
                .filter(slot -> slots.giveBack(slot, "it is wanted elsewhere"))
                .isPresent();
    }

    private Optional<String> tryHandOver() {
        if (!loadQueue.isEmpty() || tracker.isStale() || tracker.hasOrdersInFlight()) {
            return Optional.of("orders are in flight");
        }
        Optional<String> refusal = slots.handOver();
        ended |= refusal.isEmpty();
        return refusal;
    }

    /** Gives back all slots of a runner that the host list says is gone, once its engine cannot be reached. */
    private void releaseGoneRunner() {
        if (owned().isEmpty() || EngineClient.isReachable(context.engines(), host)) {
            return;
        }
        boolean allGivenBack = true;
        for (ModelVersion slot : owned().orElseThrow().slots()) {
            allGivenBack &= slots.giveBack(slot, "its runner is gone");
        }
        if (allGivenBack && slots.handOver().isEmpty()) {
            ended = true;
        }
    }

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
