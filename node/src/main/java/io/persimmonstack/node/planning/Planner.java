package io.persimmonstack.node.planning;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.NodeOptions;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.placing.RunnerSnapshot;
import io.persimmonstack.runtime.event.EventLog;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Plans which models and adapters the runners hold while this node is the leader. A background thread plans
 * periodically; orders and status requests run on threads of their own.
 */
public final class Planner implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(Planner.class);
    private static final int CYCLE_MS = 30;
    /** Window over which the load rate of the weight store is limited. */
    private static final long STORE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final double STORE_WINDOW_SECONDS = 5;
    /** Time without added or removed runners after which the copies of models are taken to be known. */
    private static final long STABLE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final FleetView fleet;
    private final NodeReports reports;
    private final Supplier<OptionalLong> leadTerm;
    private final OrderExecutor orderExecutor;
    private final QuietRunnerControl control;
    private final ExecutorService executor;
    private final long orderPauseNanos;
    private final Map<String, RunnerStateTracker> trackers = new HashMap<>();
    private final UnmetDemandTracker unmetDemand = new UnmetDemandTracker();
    /** Monotonic start times of the loads from the weight store within the window of the rate limit. */
    private final Deque<Long> storeLoadNanos = new ArrayDeque<>();

    private final Thread thread = Thread.ofVirtual().name("planner").unstarted(this::run);
    private OptionalLong term = OptionalLong.empty();
    private volatile List<ModelArrival> arrivals = List.of();
    private long electedNanos;
    private long runnersChangedNanos = System.nanoTime();

    private Planner(
            FleetView fleet,
            NodeReports reports,
            Supplier<OptionalLong> leadTerm,
            OrderExecutor orderExecutor,
            QuietRunnerControl control,
            ExecutorService executor,
            long orderPauseNanos) {
        this.orderPauseNanos = orderPauseNanos;
        this.fleet = fleet;
        this.reports = reports;
        this.leadTerm = leadTerm;
        this.orderExecutor = orderExecutor;
        this.control = control;
        this.executor = executor;
    }

    /**
     * Starts a planner, which runs until it is closed.
     *
     * @param fleet view of the runners and the configuration
     * @param reports load reports of all nodes
     * @param leadTerm returns the term of this node's leadership, empty while it is not the leader
     * @param options name of this node, and the pause of a new leader before its first order
     * @param control sends orders and status requests to runners
     * @param executor runs each blocking call on a virtual thread
     * @param metrics counts the orders by answer
     * @param onFenced receives a cause when a runner has seen a later term, so that this node steps down
     */
    public static Planner start(
            FleetView fleet,
            NodeReports reports,
            Supplier<OptionalLong> leadTerm,
            NodeOptions options,
            RunnerControl control,
            ExecutorService executor,
            NodeMetrics metrics,
            Consumer<String> onFenced) {
        QuietRunnerControl quietControl = QuietRunnerControl.of(control, fleet);
        OrderExecutor orderExecutor = OrderExecutor.of(options.name(), quietControl, metrics, onFenced);
        long pauseNanos = TimeUnit.MILLISECONDS.toNanos(options.orderPauseMs());
        Planner planner = new Planner(fleet, reports, leadTerm, orderExecutor, quietControl, executor, pauseNanos);
        planner.thread.start();
        return planner;
    }

    /** Returns the state of all runners for a node, with the requests of all other nodes in progress there. */
    public List<RunnerSnapshot> snapshotsFor(String node) {
        Map<String, RunnerLoads.Load> loads = reports.loadsExcept(node, System.nanoTime());
        synchronized (this) {
            return trackers.values().stream()
                    .map(tracker -> snapshot(
                            tracker, loads.getOrDefault(tracker.runner().id(), RunnerLoads.Load.NONE)))
                    .toList();
        }
    }

    /** Requests the status of the given runners at once, since a node could not reach them. */
    public synchronized void suspect(List<String> runners) {
        long nowNanos = System.nanoTime();
        runners.stream().map(trackers::get).filter(Objects::nonNull).forEach(tracker -> tracker.suspect(nowNanos));
    }

    /**
     * Returns when models that requests wait for and that no runner holds which they may use become available, by the
     * last plan.
     */
    public List<ModelArrival> arrivals() {
        return arrivals;
    }

    private static RunnerSnapshot snapshot(RunnerStateTracker tracker, RunnerLoads.Load elsewhere) {
        return new RunnerSnapshot(
                tracker.runner().id(),
                tracker.runner().startedMs(),
                Optional.of(tracker.servedModels()),
                elsewhere.requests(),
                elsewhere.tokens());
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(CYCLE_MS);
                runCycle();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void runCycle() {
        OptionalLong currentTerm = leadTerm.get();
        if (!currentTerm.equals(term)) {
            trackers.clear();
            arrivals = List.of();
            term = currentTerm;
            electedNanos = System.nanoTime();
        }
        Fleet currentFleet = fleet.current();
        if (term.isEmpty() || currentFleet.routing().isEmpty()) {
            return;
        }
        RoutingTable routing = currentFleet.routing().get();
        updateTrackers(currentFleet, routing);
        trackers.values().forEach(this::pollStatus);
        if (System.nanoTime() - electedNanos < orderPauseNanos) {
            return;
        }
        List<ModelArrival> estimates = new ArrayList<>();
        for (Service service : routing.services()) {
            service.engine().ifPresent(engine -> estimates.addAll(plan(service.name(), engine)));
        }
        arrivals = List.copyOf(estimates);
    }

    /** Adds trackers of new runner processes and removes those of runners that are gone. */
    private void updateTrackers(Fleet currentFleet, RoutingTable routing) {
        Map<String, Runner> runners = new HashMap<>();
        currentFleet.runners().values().stream()
                .filter(runner -> routing.service(runner.service())
                        .flatMap(Service::engine)
                        .isPresent())
                .forEach(runner -> runners.put(runner.id(), runner));
        if (!trackers.keySet().equals(runners.keySet())) {
            runnersChangedNanos = System.nanoTime();
        }
        trackers.entrySet().removeIf(entry -> {
            Runner runner = runners.get(entry.getKey());
            return runner == null || !runner.isSameProcess(entry.getValue().runner());
        });
        runners.values()
                .forEach(runner -> trackers.computeIfAbsent(runner.id(), id -> new RunnerStateTracker(runner))
                        .updateRunner(runner));
    }

    private void pollStatus(RunnerStateTracker tracker) {
        if (control.isQuiet(tracker.runner()) || !tracker.needsStatus(System.nanoTime())) {
            return;
        }
        tracker.markStatusRequested(System.nanoTime());
        executor.execute(() -> {
            try {
                tracker.applyStatus(control.status(tracker.runner()), System.nanoTime());
            } catch (RunnerControlException e) {
                tracker.statusFailed(System.nanoTime());
                LOG.write(NodeEvent.REPORT_FAILED, tracker.runner().id(), e.getMessage());
            }
        });
    }

    /** Plans and submits directives for one service; returns when models that requests wait for become available. */
    private List<ModelArrival> plan(String service, Engine engine) {
        long nowNanos = System.nanoTime();
        List<RunnerState> states = trackers.values().stream()
                .filter(tracker -> tracker.runner().service().equals(service))
                .map(tracker -> tracker.state(
                        reports.requestsByModel(tracker.runner().id(), nowNanos),
                        engine,
                        !control.isQuiet(tracker.runner())))
                .toList();
        int activeStoreLoads = (int) trackers.values().stream()
                .filter(RunnerStateTracker::loadsFromStore)
                .count();
        ServiceState observed = new ServiceState(
                engine,
                states,
                reports.demands(service, nowNanos),
                Map.of(),
                activeStoreLoads,
                storeLoadAllowed(engine, nowNanos),
                orderExecutor.storeLimits(),
                nowNanos - runnersChangedNanos > STABLE_AFTER_NANOS);
        unmetDemand.observe(service, observed, nowNanos);
        ServiceState state = observed.withUnmet(unmetDemand.durationsMs(service, nowNanos));
        ModelPolicy.plan(state).forEach(directive -> submit(directive, state));
        AdapterPolicy.plan(state).forEach(directive -> submit(directive, state));
        List<RunnerStateTracker.LoadInProgress> loads = trackers.values().stream()
                .filter(tracker -> tracker.runner().service().equals(service))
                .flatMap(tracker -> tracker.loadInProgress(nowNanos).stream())
                .toList();
        return ArrivalEstimator.estimate(service, state, loads);
    }

    /** Returns whether the rate limit of the weight store allows another load now. */
    private boolean storeLoadAllowed(Engine engine, long nowNanos) {
        while (!storeLoadNanos.isEmpty() && nowNanos - storeLoadNanos.peekFirst() > STORE_WINDOW_NANOS) {
            storeLoadNanos.removeFirst();
        }
        return storeLoadNanos.size() + 1 <= Math.max(1, engine.storeLoadsPerSecond() * STORE_WINDOW_SECONDS);
    }

    /** Starts the execution of a directive, unless its runner cannot take it now. */
    private void submit(Directive directive, ServiceState state) {
        RunnerStateTracker tracker = trackers.get(directive.runner());
        Engine engine = state.engine();
        if (term.isEmpty() || !tracker.beginDirective(directive, engine, System.nanoTime())) {
            return;
        }
        logDirective(directive, state);
        if (tracker.loadsFromStore()) {
            storeLoadNanos.addLast(System.nanoTime());
        }
        long orderTerm = term.getAsLong();
        String runner = directive.runner();
        DirectiveTask task = new DirectiveTask(
                tracker,
                directive,
                orderTerm,
                engine,
                () -> isLeading(orderTerm),
                model -> RequestCounts.of(reports.requestsByModel(runner, System.nanoTime()))
                        .ofModel(model));
        executor.execute(() -> orderExecutor.execute(task));
    }

    private static void logDirective(Directive directive, ServiceState state) {
        RunnerState runner = state.runner(directive.runner());
        LOG.write(
                NodeEvent.DIRECTIVE,
                runner.id(),
                directive.orders(),
                runner.sequence(),
                ServiceAggregates.usedMemoryMb(state.engine(), runner),
                state.engine().memoryMb(),
                runner.adapterCount(),
                runner.loadingAdapters(),
                state.engine().adapterSlots(),
                runner.requests(),
                directive.reason());
    }

    private boolean isLeading(long orderTerm) {
        OptionalLong currentTerm = leadTerm.get();
        return currentTerm.isPresent() && currentTerm.getAsLong() == orderTerm;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
