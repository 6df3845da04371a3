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
import io.persimmonstack.node.placing.RunnerReport;
import io.persimmonstack.node.placing.RunnerUsage;
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
import java.util.stream.Collectors;

/** Plans the loads of all runners while this node leads. */
public final class Planner implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(Planner.class);
    private static final int TICK_MS = 30;
    private static final long STORE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double STORE_WINDOW_SECONDS = 5;
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private final FleetView fleet;
    private final NodeReports reports;
    private final Supplier<OptionalLong> leadTerm;
    private final OrderDesk desk;
    private final RunnerControl control;
    private final ExecutorService threads;
    private final long orderPauseNanos;
    private final Map<String, RunnerLedger> ledgers = new HashMap<>();
    private final UnmetDemand unmetDemand = new UnmetDemand();
    private final Deque<Long> storeLoads = new ArrayDeque<>();
    private final Thread thread = Thread.ofVirtual().name("planner").unstarted(this::run);
    private OptionalLong term = OptionalLong.empty();
    private volatile List<ModelArrival> arrivals = List.of();
    private long electedNanos;
    private long runnersChangedNanos = System.nanoTime();

    private Planner(
            FleetView fleet,
            NodeReports reports,
            Supplier<OptionalLong> leadTerm,
            OrderDesk desk,
            RunnerControl control,
            ExecutorService threads,
            long orderPauseNanos) {
        this.orderPauseNanos = orderPauseNanos;
        this.fleet = fleet;
        this.reports = reports;
        this.leadTerm = leadTerm;
        this.desk = desk;
        this.control = control;
        this.threads = threads;
    }

    /**
     * Starts the planner.
     *
     * @param fleet runners and configuration
     * @param reports demand of all nodes
     * @param leadTerm term of this node's lead, empty while it does not lead
     * @param options name of this node, and how long it waits before its first order
     * @param control calls to runners
     * @param threads starts a virtual thread for each call
     * @param metrics counts orders
     * @param onFenced told when a runner has seen a later term
     */
    public static Planner start(
            FleetView fleet,
            NodeReports reports,
            Supplier<OptionalLong> leadTerm,
            NodeOptions options,
            RunnerControl control,
            ExecutorService threads,
            NodeMetrics metrics,
            Consumer<String> onFenced) {
        OrderDesk desk = OrderDesk.of(options.name(), control, metrics, onFenced);
        long pauseNanos = TimeUnit.MILLISECONDS.toNanos(options.orderPauseMs());
        Planner planner = new Planner(fleet, reports, leadTerm, desk, control, threads, pauseNanos);
        planner.thread.start();
        return planner;
    }

    /** Returns what is known of the runners, with the requests in progress there from other nodes than the given. */
    public List<RunnerReport> reportsFor(String node) {
        List<RunnerUsage> uses = reports.usesExcept(node, System.nanoTime());
        Map<String, List<RunnerUsage>> byRunner = uses.stream().collect(Collectors.groupingBy(RunnerUsage::runner));
        synchronized (this) {
            return ledgers.values().stream()
                    .map(ledger ->
                            report(ledger, byRunner.getOrDefault(ledger.runner().id(), List.of())))
                    .toList();
        }
    }

    /** Asks runners that a node could not reach for their state, at once. */
    public synchronized void suspect(List<String> runners) {
        long now = System.nanoTime();
        runners.stream().map(ledgers::get).filter(Objects::nonNull).forEach(ledger -> ledger.suspect(now));
    }

    /** Returns the models that requests wait for and that no runner holds. */
    public List<ModelArrival> arrivals() {
        return arrivals;
    }

    private static RunnerReport report(RunnerLedger ledger, List<RunnerUsage> uses) {
        return new RunnerReport(
                ledger.runner().id(),
                ledger.runner().startedMs(),
                Optional.of(ledger.serving()),
                uses.stream().mapToInt(RunnerUsage::requests).sum(),
                uses.stream().mapToLong(RunnerUsage::tokens).sum());
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(TICK_MS);
                step();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void step() {
        OptionalLong current = leadTerm.get();
        if (!current.equals(term)) {
            ledgers.clear();
            arrivals = List.of();
            term = current;
            electedNanos = System.nanoTime();
        }
        Fleet known = fleet.current();
        if (term.isEmpty() || known.routing().isEmpty()) {
            return;
        }
        RoutingTable routing = known.routing().get();
        followRunners(known, routing);
        ledgers.values().forEach(this::askStatus);
        if (System.nanoTime() - electedNanos < orderPauseNanos) {
            return;
        }
        List<ModelArrival> planned = new ArrayList<>();
        for (Service service : routing.services()) {
            service.engine().ifPresent(engine -> planned.addAll(plan(service.name(), engine)));
        }
        arrivals = List.copyOf(planned);
    }

    private void followRunners(Fleet known, RoutingTable routing) {
        Map<String, Runner> runners = new HashMap<>();
        known.runners().values().stream()
                .filter(runner -> routing.service(runner.service())
                        .flatMap(Service::engine)
                        .isPresent())
                .forEach(runner -> runners.put(runner.id(), runner));
        if (!ledgers.keySet().equals(runners.keySet())) {
            runnersChangedNanos = System.nanoTime();
        }
        ledgers.entrySet().removeIf(entry -> {
            Runner runner = runners.get(entry.getKey());
            return runner == null || !runner.isSameProcess(entry.getValue().runner());
        });
        runners.values()
                .forEach(runner -> ledgers.computeIfAbsent(runner.id(), id -> new RunnerLedger(runner))
                        .describe(runner));
    }

    private void askStatus(RunnerLedger ledger) {
        if (!ledger.wantsStatus(System.nanoTime())) {
            return;
        }
        ledger.asking(System.nanoTime());
        threads.execute(() -> {
            try {
                ledger.answered(control.status(ledger.runner()), System.nanoTime());
            } catch (RunnerControlException e) {
                ledger.notAnswered(System.nanoTime());
                LOG.write(NodeEvent.REPORT_FAILED, ledger.runner().id(), e.getMessage());
            }
        });
    }

    /** Plans for one service; returns when the models that requests wait for may arrive. */
    private List<ModelArrival> plan(String service, Engine engine) {
        long now = System.nanoTime();
        List<RunnerUsage> uses = reports.usesExcept("", now);
        List<RunnerState> states = ledgers.values().stream()
                .filter(ledger -> ledger.runner().service().equals(service))
                .map(ledger -> ledger.state(uses, engine))
                .toList();
        int loading = (int)
                ledgers.values().stream().filter(RunnerLedger::loadsFromStore).count();
        ServiceState seen = new ServiceState(
                engine,
                states,
                reports.demands(service, now),
                Map.of(),
                loading,
                storeLoadAllowed(engine, now),
                now - runnersChangedNanos > SETTLE_NANOS);
        unmetDemand.observe(seen, now);
        ServiceState state = seen.withUnmet(unmetDemand.sinceMs(now));
        ModelPolicy.plan(state).forEach(directive -> execute(directive, engine));
        AdapterPolicy.plan(state).forEach(directive -> execute(directive, engine));
        Map<String, Long> comingMs = new HashMap<>();
        ledgers.values().stream()
                .flatMap(ledger -> ledger.coming(now).stream())
                .forEach(coming -> comingMs.merge(coming.model(), coming.leftMs(), Math::min));
        return ArrivalEstimate.of(service, state, comingMs);
    }

    private boolean storeLoadAllowed(Engine engine, long nowNanos) {
        while (!storeLoads.isEmpty() && nowNanos - storeLoads.peekFirst() > STORE_WINDOW_NANOS) {
            storeLoads.removeFirst();
        }
        return storeLoads.size() + 1 <= Math.max(1, engine.storeLoadsPerSecond() * STORE_WINDOW_SECONDS);
    }

    private void execute(Directive directive, Engine engine) {
        RunnerLedger ledger = ledgers.get(directive.runner());
        if (term.isEmpty() || !ledger.begin(directive, engine, System.nanoTime())) {
            return;
        }
        if (!directive.ofAdapters() && ledger.loadsFromStore()) {
            storeLoads.addLast(System.nanoTime());
        }
        long orderTerm = term.getAsLong();
        Assignment assignment = new Assignment(ledger, directive, orderTerm, engine, () -> leads(orderTerm));
        threads.execute(() -> desk.carryOut(assignment));
    }

    private boolean leads(long orderTerm) {
        OptionalLong current = leadTerm.get();
        return current.isPresent() && current.getAsLong() == orderTerm;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
