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
    private static final long JOIN_MS = 1_000;

    private final RunnerPorts ports;
    private final String runner;
    private final LinkedBlockingQueue<Runnable> mailbox = new LinkedBlockingQueue<>();
    private final EngineBook book = new EngineBook();
    private final RunnerSlots slots;
    private final EngineCaller engine;
    private final StatusWriter writer;
    private final ModelUses uses;
    private final DemandQueue demands;
    private final AheadQueue ahead;
    private final Set<ModelVersion> retiring = new HashSet<>();
    private final Thread thread;
    private final long sinceMs;
    private volatile Host host;
    private final AtomicReference<CompletableFuture<Optional<String>>> handOver =
            new AtomicReference<>(CompletableFuture.completedFuture(Optional.empty()));
    private volatile boolean draining;
    private volatile boolean hostLeaves;
    private volatile boolean ended;
    private long lastInspectNanos;

    private RunnerAgent(RunnerPorts ports, Host host) {
        this.ports = ports;
        this.runner = host.name();
        this.host = host;
        this.slots = new RunnerSlots(ports, host.name());
        this.engine = new EngineCaller(ports, book, this::post);
        this.writer = new StatusWriter(ports.self(), ports.announce());
        this.uses = new ModelUses(ports.idleModels(), ports.time());
        this.demands = new DemandQueue(runner, ports, book, engine, slots, uses);
        this.ahead = new AheadQueue(runner, ports, book, engine, uses);
        this.lastInspectNanos = ports.time().nanoTime();
        this.sinceMs = ports.time().currentTimeMillis();
        this.thread = Thread.ofVirtual().name("runner-" + runner).unstarted(this::run);
    }

    /**
     * Starts to order a runner that this process owns.
     *
     * @param ports what the agents share
     * @param host entry of the runner in the host list
     * @param draining whether the runner was being drained under its former owner
     * @return the agent
     */
    public static RunnerAgent start(RunnerPorts ports, Host host, boolean draining) {
        RunnerAgent agent = new RunnerAgent(ports, host);
        agent.draining = draining;
        agent.thread.start();
        return agent;
    }

    /** Returns the name of the runner. */
    public String runner() {
        return runner;
    }

    /** Returns since when this process has owned the runner, wall-clock time. */
    public long sinceMs() {
        return sinceMs;
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
        long deadline = ports.time().nanoTime() + Math.max(0, slackMs) * NANOS_PER_MS;
        LoadDemand demand = new LoadDemand(key, deadline, sizes, new CompletableFuture<>());
        post(() -> demands.add(demand));
        return demand.answer();
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
    public CompletableFuture<LoadAnswer> loadAhead(LoadKey key, long holdMs, LoadSizes sizes) {
        CompletableFuture<LoadAnswer> answer = new CompletableFuture<>();
        post(() -> ahead.add(key, holdMs, sizes, answer));
        return answer;
    }

    /**
     * Notes requests for a model or adapter.
     *
     * @param key what was used
     * @param agoMs age of the newest request
     */
    public void used(LoadKey key, long agoMs) {
        uses.used(key, agoMs);
    }

    /**
     * Gives slots back once their models are unloaded, which it orders.
     *
     * @param slots slots that the runner is to lose
     */
    public void retire(List<ModelVersion> slots) {
        post(() -> retiring.addAll(slots));
    }

    /**
     * Gives an idle slot of a model back at once.
     *
     * @param model name of the model
     * @return whether a slot was given back
     */
    public CompletableFuture<Boolean> releaseIdleSlot(String model) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        post(() -> done.complete(releaseIdle(model)));
        return done;
    }

    /**
     * Gets a slot ahead of demand.
     *
     * @param slot model version that may be loaded from then on
     * @return whether the runner has the slot
     */
    public CompletableFuture<Boolean> grantAhead(ModelVersion slot) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        post(() -> done.complete(
                owned().filter(held -> slots.ensure(held, slot).isEmpty()).isPresent()));
        return done;
    }

    /**
     * Hands the runner over unless something is in flight; joins an attempt in progress.
     *
     * @return why it was refused, or empty where the runner was handed over
     */
    public CompletableFuture<Optional<String>> handOver() {
        CompletableFuture<Optional<String>> done = new CompletableFuture<>();
        CompletableFuture<Optional<String>> asked = handOver.updateAndGet(earlier -> earlier.isDone() ? done : earlier);
        if (asked == done) {
            post(() -> done.complete(tryHandOver()));
        }
        return asked;
    }

    /**
     * Takes note of the runner's entry in the host list.
     *
     * @param entry entry read now
     * @param leaves whether the list says that the runner leaves or is gone
     */
    public void hostSeen(Host entry, boolean leaves) {
        boolean changed = hostLeaves != leaves;
        host = entry;
        hostLeaves = leaves;
        if (changed) {
            post(() -> {});
        }
    }

    /** Gives all slots back if the engine cannot be reached, after the host list said that the runner is gone. */
    public void hostGone() {
        post(this::bury);
    }

    /**
     * Lets the runner take no new work, or take it again.
     *
     * @param leaving whether the runner is to take no new work
     */
    public void drain(boolean leaving) {
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
                await();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended = true;
            engine.releasePermits();
            refuseAll("the runner's owner has changed");
        }
    }

    private void await() throws InterruptedException {
        long waitNanos = Math.max(0, inspectionDueNanos() - ports.time().nanoTime());
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
        if (book.isStale() || ports.time().nanoTime() - inspectionDueNanos() >= 0) {
            inspect(owned.get());
        }
        if (!book.isStale() && owned().filter(OwnedRunner::mayOrder).isPresent()) {
            act(owned.get());
        }
        if (book.isStale()) {
            inspect(owned.get());
        }
        owned().ifPresent(held -> writer.write(host, held, book, isLeaving()));
    }

    private void act(OwnedRunner owned) {
        unloadUnslotted(owned);
        demands.serve(host, this::isBarred);
        ahead.serve(host, owned, demands.isEmpty(), this::isBarred);
        unloadIdle(owned);
        giveBackRetired();
    }

    private boolean isBarred(ModelVersion model) {
        return isLeaving() || retiring.contains(model);
    }

    private Optional<OwnedRunner> owned() {
        return slots.owned();
    }

    private boolean isLeaving() {
        return draining || hostLeaves;
    }

    private long inspectionDueNanos() {
        boolean waiting = !demands.isEmpty() || !ahead.isEmpty() || engine.isFetching();
        boolean busy = waiting || book.isStale() || book.hasOrdersInFlight();
        int interval = busy ? BUSY_INSPECT_INTERVAL_MS : ports.inspectIntervalMs();
        return lastInspectNanos + interval * NANOS_PER_MS;
    }

    private void inspect(OwnedRunner owned) {
        lastInspectNanos = ports.time().nanoTime();
        try {
            engine.inspect(host);
            if (owned.phase() == OwnedRunner.Phase.FENCING) {
                engine.fence(host, owned);
            } else if (book.hasUnansweredOrders() && host.fencing()) {
                slots.refence();
            }
            uses.loaded(loadedKeys());
        } catch (EngineException e) {
            LOG.write(CoordinatorEvent.ENGINE_FAILED, runner, e.getMessage());
        }
    }

    private Set<LoadKey> loadedKeys() {
        Set<LoadKey> keys = new HashSet<>();
        for (EngineModel model : book.state().orElseThrow().models()) {
            if (model.state() == ModelState.LOADED) {
                keys.add(new LoadKey(model.version(), Optional.empty()));
                model.adapters().forEach(adapter -> keys.add(new LoadKey(model.version(), Optional.of(adapter))));
            }
        }
        return keys;
    }

    /** Unloads what the predecessor left without a slot. */
    private void unloadUnslotted(OwnedRunner owned) {
        for (EngineModel model : book.state().orElseThrow().models()) {
            if (!owned.slots().contains(model.version()) && model.state() == ModelState.LOADED) {
                engine.unload(host, owned, new LoadKey(model.version(), Optional.empty()), "it has no slot");
            }
        }
    }

    private void unloadIdle(OwnedRunner owned) {
        for (LoadKey key : loadedKeys()) {
            if (!demands.wants(key.model()) && (uses.isExpired(key) || retiring.contains(key.model()))) {
                engine.unload(host, owned, key, "idle for " + uses.idleMs(key) + " ms");
            }
        }
    }

    private void giveBackRetired() {
        for (ModelVersion slot : List.copyOf(retiring)) {
            if (book.isClearOf(slot) && slots.giveBack(slot, "its runner is to lose it")) {
                retiring.remove(slot);
            }
        }
    }

    private boolean releaseIdle(String model) {
        Set<ModelVersion> held = owned().map(OwnedRunner::slots).orElse(Set.of());
        return held.stream()
                .filter(slot -> slot.model().equals(model) && book.isClearOf(slot))
                .filter(slot -> !demands.wants(slot))
                .findFirst()
                .filter(slot -> slots.giveBack(slot, "it is wanted elsewhere"))
                .isPresent();
    }

    private Optional<String> tryHandOver() {
        if (!demands.isEmpty() || book.isStale() || book.hasOrdersInFlight()) {
            return Optional.of("orders are in flight");
        }
        Optional<String> refusal = slots.handOver();
        ended |= refusal.isEmpty();
        return refusal;
    }

    /** Gives back all slots of a runner that the host list says is gone, once its engine cannot be reached. */
    private void bury() {
        if (owned().isEmpty() || EngineCaller.isReachable(ports.engines(), host)) {
            return;
        }
        boolean done = true;
        for (ModelVersion slot : owned().orElseThrow().slots()) {
            done &= slots.giveBack(slot, "its runner is gone");
        }
        if (done && slots.handOver().isEmpty()) {
            ended = true;
        }
    }

    private void refuseAll(String reason) {
        for (Runnable message = mailbox.poll(); message != null; message = mailbox.poll()) {
            message.run();
        }
        demands.refuseAll(reason);
        ahead.refuseAll(reason);
    }

    @Override
    public void close() {
        ended = true;
        thread.interrupt();
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
