package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Tracks the state of one runner process for the leader: its last status, updated by the orders that it has accepted
 * since, because a status reflects orders with a delay. Thread-safe.
 */
final class RunnerStateTracker {
    /** Time after an order during which the runner's status may not reflect it yet. */
    private static final long STATUS_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Age from which the status is requested again. */
    private static final long STATUS_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Shortest time between two status requests. */
    private static final long STATUS_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Time after a load during which the requests that waited for the model may not have started. */
    private static final long RECENT_LOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time for which a runner counts as suspected or unavailable. */
    private static final long SUSPICION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Version of a newly loaded model until a status states it. */
    private static final long UNKNOWN_VERSION = 0;

    private final Map<String, HeldModel> models = new HashMap<>();
    private final Set<String> inMemory = new HashSet<>();
    private final Set<String> onDisk = new HashSet<>();
    private final Map<String, Long> loadedNanos = new HashMap<>();
    /** Adapters that the last status shows as loading, for example by orders that were carried out late. */
    private final Set<ModelRef> reportedLoadingAdapters = new HashSet<>();

    /** Loads of adapters that had no answer. */
    private final List<UnansweredLoad> unansweredLoads = new ArrayList<>();

    private Runner runner;
    private Optional<Directive> activeDirective = Optional.empty();
    private long loadEndNanos;
    private boolean loadingFromStore;
    private boolean stateKnown;
    private boolean statusRequested;
    /** Whether a new status is needed because the known state may be outdated. */
    private boolean refreshNeeded;

    /** Number of orders that the runner has accepted. */
    private long sequence;

    private long statusNanos;
    private long statusRequestedNanos;
    /** Monotonic time of the last accepted order or of the end of the last directive, the later of both. */
    private long lastOrderNanos;

    private long suspectedUntilNanos = System.nanoTime();
    private long unavailableUntilNanos = suspectedUntilNanos;

    /** Load of an adapter that the runner may carry out as long as it has accepted exactly that many orders. */
    private record UnansweredLoad(ModelRef adapter, long sequence) {}

    RunnerStateTracker(Runner runner) {
        this.runner = runner;
        runner.models().forEach(model -> models.put(model.name(), model));
        inMemory.addAll(runner.inMemory());
        onDisk.addAll(runner.onDisk());
        this.statusRequestedNanos = System.nanoTime() - STATUS_RETRY_NANOS;
        this.lastOrderNanos = System.nanoTime() - STATUS_LAG_NANOS;
    }

    synchronized Runner runner() {
        return runner;
    }

    /** Replaces the runner's entry; its status is requested again if its models have changed. */
    synchronized void updateRunner(Runner newer) {
        refreshNeeded |= !newer.models().equals(runner.models());
        runner = newer;
    }

    /** Returns whether the runner's status should be requested now. */
    synchronized boolean needsStatus(long nowNanos) {
        boolean suspected = nowNanos - suspectedUntilNanos < 0;
        boolean statusOutdated = !stateKnown
                || refreshNeeded
                || !reportedLoadingAdapters.isEmpty()
                || nowNanos - statusNanos > STATUS_VALID_NANOS;
        boolean noOrderInProgress = activeDirective.isEmpty() && nowNanos - lastOrderNanos > STATUS_LAG_NANOS;
        return statusOutdated
                && (noOrderInProgress || suspected)
                && !statusRequested
                && nowNanos - statusRequestedNanos > STATUS_RETRY_NANOS;
    }

    /** Records that the status has been requested. */
    synchronized void markStatusRequested(long nowNanos) {
        statusRequested = true;
        statusRequestedNanos = nowNanos;
        refreshNeeded = false;
    }

    /**
     * Records that a status request has failed; if a node could not reach the runner either, it counts as leaving for a
     * while.
     */
    synchronized void statusFailed(long nowNanos) {
        statusRequested = false;
        if (nowNanos - suspectedUntilNanos < 0) {
            unavailableUntilNanos = nowNanos + SUSPICION_NANOS;
        }
    }

    /** Records that a node could not reach the runner, so that its status is requested at once. */
    synchronized void suspect(long nowNanos) {
        suspectedUntilNanos = nowNanos + SUSPICION_NANOS;
        refreshNeeded = true;
    }

    /**
     * Applies a status, unless an order has been sent since it was requested: the status may not reflect that order.
     */
    synchronized void applyStatus(RunnerStatus status, long nowNanos) {
        statusRequested = false;
        suspectedUntilNanos = nowNanos;
        unavailableUntilNanos = nowNanos;
        if (activeDirective.isPresent() || lastOrderNanos - statusRequestedNanos > 0) {
            return;
        }
        if (status.busy()) {
            applyBusyStatus(status);
            return;
        }
        stateKnown = true;
        statusNanos = nowNanos;
        sequence = status.sequence();
        // A load with the runner's present number was planned on its present state: any other order supersedes it.
        unansweredLoads.removeIf(load -> load.sequence() <= sequence);
        replaceState(status);
    }

    /**
     * Applies the status of a runner whose order takes longer than expected, so that a model still loading is not
     * served.
     */
    private void applyBusyStatus(RunnerStatus status) {
        stateKnown = false;
        replaceState(status);
    }

    private void replaceState(RunnerStatus status) {
        models.clear();
        status.models().forEach(model -> models.put(model.name(), model));
        reportedLoadingAdapters.clear();
        reportedLoadingAdapters.addAll(status.loadingAdapters());
        replaceCopies(status);
    }

    private void replaceCopies(RunnerStatus status) {
        inMemory.clear();
        inMemory.addAll(status.inMemory());
        onDisk.clear();
        onDisk.addAll(status.onDisk());
    }

    /**
     * Records that the state differs from the expected one; no order is sent until the next status has been applied.
     */
    synchronized void markStateUnknown(long nowNanos) {
        stateKnown = false;
        lastOrderNanos = nowNanos;
    }

    /**
     * Begins a directive. One is in progress at a time, so that each is planned on the outcome of the one before it.
     *
     * @return false if another is in progress, or if the state is unknown or not the one that it was planned on
     */
    synchronized boolean beginDirective(Directive directive, Engine engine, long nowNanos) {
        if (!stateKnown || activeDirective.isPresent() || directive.sequence() != sequence) {
            return false;
        }
        activeDirective = Optional.of(directive);
        directive.loadedModel().ifPresent(model -> {
            LoadSource source = loadSource(model);
            loadingFromStore = source == LoadSource.STORE;
            loadEndNanos = nowNanos
                    + TimeUnit.MILLISECONDS.toNanos(
                            source.loadMs(engine.models().get(model)));
        });
        return true;
    }

    /**
     * Ends the directive in progress, whether its orders were carried out or not. A status that is requested at once
     * may still show its last load in progress.
     */
    synchronized void endDirective() {
        lastOrderNanos = System.nanoTime();
        activeDirective = Optional.empty();
        loadingFromStore = false;
    }

    /** Returns whether a load of a model has been taken as done within the given time. */
    synchronized boolean loadEndedWithin(long nanos, long nowNanos) {
        return loadedNanos.values().stream().anyMatch(endNanos -> nowNanos - endNanos < nanos);
    }

    /** Returns the number of orders that the runner has accepted so far. */
    synchronized long sequence() {
        return sequence;
    }

    /** Records that the runner has accepted an order. */
    synchronized void orderAccepted(long nowNanos) {
        sequence++;
        lastOrderNanos = nowNanos;
    }

    /**
     * Records that an order had no answer, so that the runner may carry it out once it has accepted as many orders as
     * the order expects.
     */
    synchronized void orderUnanswered(PlacementOrder order, long expectedSequence) {
        if (order instanceof PlacementOrder.LoadAdapter load) {
            unansweredLoads.add(new UnansweredLoad(new ModelRef(load.model(), load.adapter()), expectedSequence));
        }
    }

    private Set<ModelRef> reservedAdapters() {
        return unansweredLoads.stream()
                .filter(load -> load.sequence() >= sequence && !holds(load.adapter()))
                .map(UnansweredLoad::adapter)
                .collect(Collectors.toSet());
    }

    /**
     * Applies the effect of an order that has been carried out. An unload takes effect once it is accepted, so that no
     * more requests are placed for the model.
     */
    synchronized void applyOrder(PlacementOrder order) {
        switch (order) {
            case PlacementOrder.LoadModel load -> modelLoaded(load.model());
            case PlacementOrder.UnloadModel unload -> models.remove(unload.model());
            case PlacementOrder.LoadAdapter load -> updateAdapters(load.model(), load.adapter(), true);
            case PlacementOrder.UnloadAdapter unload -> updateAdapters(unload.model(), unload.adapter(), false);
        }
    }

    private void modelLoaded(String model) {
        models.put(model, new HeldModel(model, UNKNOWN_VERSION, Set.of()));
        loadedNanos.put(model, System.nanoTime());
        inMemory.clear();
        inMemory.add(model);
        onDisk.add(model);
        refreshNeeded = true;
    }

    /**
     * Replaces the known copies by those of a status after a load from the weight store, since such a load evicts older
     * copies.
     */
    synchronized void updateCopies(RunnerStatus status) {
        replaceCopies(status);
    }

    private void updateAdapters(String model, String adapter, boolean present) {
        HeldModel held = models.get(model);
        if (held == null) {
            return;
        }
        Set<String> adapters = new HashSet<>(held.adapters());
        if (present) {
            adapters.add(adapter);
        } else {
            adapters.remove(adapter);
        }
        models.put(model, new HeldModel(model, held.version(), adapters));
    }

    /** Returns the source from which the runner would load a model. */
    synchronized LoadSource loadSource(String model) {
        return LoadSource.of(model, inMemory, onDisk);
    }

    /** Returns the load of a model in progress, empty if there is none. */
    synchronized Optional<LoadInProgress> loadInProgress(long nowNanos) {
        return loadingModel()
                .map(model -> new LoadInProgress(
                        model,
                        runner.softwareVersion(),
                        Math.max(0, TimeUnit.NANOSECONDS.toMillis(loadEndNanos - nowNanos))));
    }

    /**
     * Load of a model in progress.
     *
     * @param model name of the model
     * @param softwareVersion software version of the runner
     * @param remainingMs estimated remaining time, in milliseconds; 0 if the load takes longer than expected
     */
    record LoadInProgress(String model, String softwareVersion, long remainingMs) {}

    /** Returns whether the runner is loading a model from the weight store. */
    synchronized boolean loadsFromStore() {
        return loadingFromStore;
    }

    /** Returns the models that the runner can serve requests for. */
    synchronized List<HeldModel> servedModels() {
        return List.copyOf(models.values());
    }

    private Set<String> recentlyLoaded(long nowNanos) {
        loadedNanos.values().removeIf(loadNanos -> nowNanos - loadNanos > RECENT_LOAD_NANOS);
        return Set.copyOf(loadedNanos.keySet());
    }

    private Optional<String> loadingModel() {
        return activeDirective.flatMap(Directive::loadedModel);
    }

    private Set<ModelRef> allLoadingAdapters() {
        Set<ModelRef> loadingAdapters = new HashSet<>();
        activeDirective.map(Directive::loadedAdapters).ifPresent(loadingAdapters::addAll);
        reportedLoadingAdapters.stream().filter(adapter -> !holds(adapter)).forEach(loadingAdapters::add);
        return Set.copyOf(loadingAdapters);
    }

    private boolean holds(ModelRef adapter) {
        HeldModel held = models.get(adapter.model());
        return held != null && held.adapters().contains(adapter.adapter());
    }

    /**
     * Returns the state to plan with.
     *
     * @param requestsByModel requests in progress by the nodes' reports
     * @param engine capacity of the runner
     * @param takesOrders whether the runner takes orders from this node at present
     */
    synchronized RunnerState state(Map<ModelRef, Integer> requestsByModel, Engine engine, boolean takesOrders) {
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.softwareVersion(),
                stateKnown,
                takesOrders && activeDirective.isEmpty(),
                runner.leaving() || System.nanoTime() - unavailableUntilNanos < 0,
                sequence,
                Map.copyOf(models),
                recentlyLoaded(System.nanoTime()),
                loadingModel(),
                allLoadingAdapters(),
                reservedAdapters(),
                Set.copyOf(inMemory),
                Set.copyOf(onDisk),
                RequestCounts.of(requestsByModel),
                engine.slots());
    }
}
