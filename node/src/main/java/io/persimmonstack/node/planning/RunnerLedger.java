package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What the leader knows of one runner process: its last report, and the orders that it has taken since, which a report
 * shows late.
 */
final class RunnerLedger {
    private static final long REPORT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long SUSPICION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long UNKNOWN_VERSION = 0;
    private final Map<String, HeldModel> models = new HashMap<>();
    private final Set<String> inMemory = new HashSet<>();
    private final Set<String> onDisk = new HashSet<>();
    private final Map<String, Long> loadedNanos = new HashMap<>();
    private final Set<ModelRef> adaptersComing = new HashSet<>();
    /** Adapters in transit by the last report, such as those of orders that were carried out late. */
    private final Set<ModelRef> reportedComing = new HashSet<>();

    private final ReentrantLock orderTurn = new ReentrantLock();
    private Runner runner;
    private Optional<Directive> modelDirective = Optional.empty();
    private Optional<String> coming = Optional.empty();
    private long comingNanos;
    private boolean fromStore;
    private boolean known;
    private boolean asking;
    private boolean changed;
    private long sequence;
    private long statusNanos;
    private long askedNanos;
    private long orderedNanos;
    private long suspectedUntilNanos = System.nanoTime();
    private long goneUntilNanos = suspectedUntilNanos;

    RunnerLedger(Runner runner) {
        this.runner = runner;
        runner.models().forEach(model -> models.put(model.name(), model));
        inMemory.addAll(runner.inMemory());
        onDisk.addAll(runner.onDisk());
        this.askedNanos = System.nanoTime() - RETRY_NANOS;
        this.orderedNanos = System.nanoTime() - REPORT_LAG_NANOS;
    }

    /** Returns the lock to hold while an order is given, so that orders are counted in turn. */
    ReentrantLock orderTurn() {
        return orderTurn;
    }

    synchronized Runner runner() {
        return runner;
    }

    synchronized void describe(Runner newer) {
        changed |= !newer.models().equals(runner.models());
        runner = newer;
    }

    /** Returns whether its state should be asked for now. */
    synchronized boolean wantsStatus(long nowNanos) {
        boolean suspected = nowNanos - suspectedUntilNanos < 0;
        boolean due = !known || changed || !reportedComing.isEmpty() || nowNanos - statusNanos > REPORT_VALID_NANOS;
        boolean settled =
                modelDirective.isEmpty() && adaptersComing.isEmpty() && nowNanos - orderedNanos > REPORT_LAG_NANOS;
        return due && (settled || suspected) && !asking && nowNanos - askedNanos > RETRY_NANOS;
    }

    synchronized void asking(long nowNanos) {
        asking = true;
        askedNanos = nowNanos;
        changed = false;
    }

    /** It gave no report; if a node cannot reach it either, it is taken for gone for a while. */
    synchronized void notAnswered(long nowNanos) {
        asking = false;
        if (nowNanos - suspectedUntilNanos < 0) {
            goneUntilNanos = nowNanos + SUSPICION_NANOS;
        }
    }

    /** A node could not reach the runner: its state is asked for at once. */
    synchronized void suspect(long nowNanos) {
        suspectedUntilNanos = nowNanos + SUSPICION_NANOS;
        changed = true;
    }

    /** Takes a report, unless an order has been given since it was asked for. */
    synchronized void answered(RunnerStatus status, long nowNanos) {
        asking = false;
        suspectedUntilNanos = nowNanos;
        goneUntilNanos = nowNanos;
        if (modelDirective.isPresent() || orderedNanos - askedNanos > 0) {
            return;
        }
        if (status.busy()) {
            keepShown(status);
            return;
        }
        known = true;
        statusNanos = nowNanos;
        sequence = status.sequence();
        take(status);
    }

    /** An order takes longer than expected: what it was to load is not there yet. */
    private void keepShown(RunnerStatus status) {
        known = false;
        take(status);
    }

    private void take(RunnerStatus status) {
        models.clear();
        status.models().forEach(model -> models.put(model.name(), model));
        reportedComing.clear();
        reportedComing.addAll(status.coming());
        copies(status);
    }

    private void copies(RunnerStatus status) {
        inMemory.clear();
        inMemory.addAll(status.inMemory());
        onDisk.clear();
        onDisk.addAll(status.onDisk());
    }

    /** Its state is not as planned with; it is ordered again after its next report. */
    synchronized void unknown(long nowNanos) {
        known = false;
        orderedNanos = nowNanos;
    }

    /** Begins a directive; returns whether the runner can take it. */
    synchronized boolean begin(Directive directive, Engine engine, long nowNanos) {
        if (!known || modelDirective.isPresent()) {
            return false;
        }
        for (PlacementOrder order : directive.orders()) {
            if (order instanceof PlacementOrder.LoadAdapter load) {
                adaptersComing.add(new ModelRef(load.model(), load.adapter()));
            } else if (order instanceof PlacementOrder.LoadModel load) {
                coming = Optional.of(load.model());
                fromStore = source(load.model()) == LoadSource.STORE;
                Model model = engine.models().get(load.model());
                comingNanos = nowNanos
                        + TimeUnit.MILLISECONDS.toNanos(source(load.model()).loadMs(model));
            }
        }
        if (!directive.ofAdapters()) {
            modelDirective = Optional.of(directive);
        }
        return true;
    }

    synchronized void end(Directive directive) {
        if (!directive.ofAdapters()) {
            modelDirective = Optional.empty();
            coming = Optional.empty();
            fromStore = false;
        }
        directive.orders().stream()
                .filter(PlacementOrder.LoadAdapter.class::isInstance)
                .map(PlacementOrder.LoadAdapter.class::cast)
                .forEach(load -> adaptersComing.remove(new ModelRef(load.model(), load.adapter())));
    }

    /** Returns the orders that the runner has taken so far. */
    synchronized long sequence() {
        return sequence;
    }

    /** The runner has taken an order. */
    synchronized void accepted(long nowNanos) {
        sequence++;
        orderedNanos = nowNanos;
    }

    /** An order has taken effect, or does from now on as far as requests are concerned. */
    synchronized void apply(PlacementOrder order) {
        switch (order) {
            case PlacementOrder.LoadModel load -> loaded(load.model());
            case PlacementOrder.UnloadModel unload -> models.remove(unload.model());
            case PlacementOrder.LoadAdapter load -> adapters(load.model(), load.adapter(), true);
            case PlacementOrder.UnloadAdapter unload -> adapters(unload.model(), unload.adapter(), false);
        }
    }

    private void loaded(String model) {
        models.put(model, new HeldModel(model, UNKNOWN_VERSION, Set.of()));
        loadedNanos.put(model, System.nanoTime());
        inMemory.clear();
        inMemory.add(model);
        onDisk.add(model);
        changed = true;
    }

    /** Takes the copies by a report of after a load from the store, which evicts older ones. */
    synchronized void takeCopies(RunnerStatus status) {
        copies(status);
    }

    private void adapters(String model, String adapter, boolean present) {
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

    /** Returns where a load of a model would come from. */
    synchronized LoadSource source(String model) {
        return LoadSource.of(model, inMemory, onDisk);
    }

    /** Returns the model that the runner loads and how long that may still take, in milliseconds. */
    synchronized Optional<Coming> coming(long nowNanos) {
        return coming.map(
                model -> new Coming(model, Math.max(0, TimeUnit.NANOSECONDS.toMillis(comingNanos - nowNanos))));
    }

    /**
     * Model that a runner loads.
     *
     * @param model its name
     * @param leftMs time that the load may still take, in milliseconds
     */
    record Coming(String model, long leftMs) {}

    synchronized boolean loadsFromStore() {
        return fromStore;
    }

    /** Returns the models that requests may be sent for. */
    synchronized List<HeldModel> serving() {
        return List.copyOf(models.values());
    }

    private Set<String> fresh(long nowNanos) {
        loadedNanos.values().removeIf(loaded -> nowNanos - loaded > FRESH_NANOS);
        return Set.copyOf(loadedNanos.keySet());
    }

    private Set<ModelRef> allComing() {
        Set<ModelRef> coming = new HashSet<>(adaptersComing);
        reportedComing.stream().filter(adapter -> !holds(adapter)).forEach(coming::add);
        return Set.copyOf(coming);
    }

    private boolean holds(ModelRef adapter) {
        HeldModel held = models.get(adapter.model());
        return held != null && held.adapters().contains(adapter.adapter());
    }

    synchronized RunnerState state(List<RunnerUsage> uses, Engine engine) {
        Map<ModelRef, Integer> used = new HashMap<>();
        uses.stream()
                .filter(use -> use.runner().equals(runner.id()))
                .forEach(use -> used.merge(use.model(), use.requests(), Integer::sum));
        return new RunnerState(
                runner.id(),
                runner.zone(),
                known,
                modelDirective.isEmpty(),
                runner.leaving() || System.nanoTime() - goneUntilNanos < 0,
                Map.copyOf(models),
                fresh(System.nanoTime()),
                coming,
                allComing(),
                Set.copyOf(inMemory),
                Set.copyOf(onDisk),
                used,
                engine.slots());
    }
}
