package io.persimmonstack.node;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.RefusedInputs;
import io.persimmonstack.coordination.kv.WatchTimes;
import io.persimmonstack.node.callers.Directory;
import io.persimmonstack.node.callers.DrainState;
import io.persimmonstack.node.callers.ListenerOptions;
import io.persimmonstack.node.callers.RequestExplainer;
import io.persimmonstack.node.callers.RequestReceiver;
import io.persimmonstack.node.callers.RequestServer;
import io.persimmonstack.node.callers.WorkspaceCheck;
import io.persimmonstack.node.caps.FleetCaps;
import io.persimmonstack.node.caps.UsageCaps;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.peers.LeaderHandler;
import io.persimmonstack.node.peers.LinkHandler;
import io.persimmonstack.node.peers.LoadReporter;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.placing.RetryBudget;
import io.persimmonstack.node.planning.NodeReports;
import io.persimmonstack.node.planning.Planner;
import io.persimmonstack.node.prompts.CrashReportFollower;
import io.persimmonstack.node.prompts.CrashReportLinks;
import io.persimmonstack.node.prompts.PromptGuard;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Dispatcher;
import io.persimmonstack.node.store.AbandonedValues;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.PeerFollower;
import io.persimmonstack.node.store.RoutingFollower;
import io.persimmonstack.node.store.RunnerFollower;
import io.persimmonstack.node.store.StoreFollower;
import io.persimmonstack.node.store.StoreSession;
import io.persimmonstack.node.store.StoredValue;
import io.persimmonstack.node.streams.ResumptionResolver;
import io.persimmonstack.node.streams.SharedOrigins;
import io.persimmonstack.node.streams.StoredStreams;
import io.persimmonstack.node.streams.StoredVersions;
import io.persimmonstack.router.crash.CrashReportMessages;
import io.persimmonstack.router.crash.CrashReportSender;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.http.InputLimits;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.NodeLink;
import io.undertow.server.HttpHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** A node of the fleet: forwards requests to runners, serves the directory and, while elected, plans model loads. */
public final class Node implements RunningProgram {
    private static final EventLog LOG = EventLog.of(Node.class);
    private static final int LINK_CONNECT_TIMEOUT_MS = 400;
    private static final int DRAIN_POLL_MS = 50;
    private static final int POLL_PAUSE_MS_PER_NODE = 20;
    private static final int MIN_POLL_PAUSE_MS = 500;
    private static final int HOUSEKEEPING_INTERVAL_MS = 200;
    /** Pause between two writes of the report about runners that ended. */
    private static final int CRASH_REPORT_INTERVAL_MS = 500;
    /** Time for which that report outlives the node. */
    private static final int CRASH_REPORT_KEPT_MS = 600_000;
    /** Shortest drain, even without open requests: callers may still use addresses that they resolved earlier. */
    private static final long MIN_DRAIN_MS = 3_200;
    /** Part of the grace period that is reserved for closing and for the exit of the process. */
    private static final long EXIT_MARGIN_MS = 400;
    /** Time before the end of the drain in which requests without an answer are refused. */
    private static final long LAST_ANSWERS_MS = 200;

    private final NodeOptions options;
    private final Closer closer;
    private final FleetView fleet;
    private final RequestReceiver receiver;
    private final StoreSession session;
    private final DrainState drainState;
    private final Placer placer;
    private final UsageCaps caps;
    private final StoredStreams streams;
    private final SharedOrigins origins;
    private final PromptGuard prompts;
    private final WorkspaceCheck workspaces;
    private volatile Optional<LoadReporter> loadReporter = Optional.empty();
    private final CrashReportSender crashReports;
    private final ReceiveMemory receiveMemory = ReceiveMemory.ofHeap();
    private volatile boolean readyLogged;

    private Node(NodeOptions options, NodePorts ports, MetricRegistry registry, Closer closer) throws ProgramException {
        this.options = options;
        this.closer = closer;
        this.fleet = FleetView.create(options.leavingServesMs());
        NodeMetrics metrics = NodeMetrics.in(registry);
        long startedMs = System.currentTimeMillis();
        LOG.write(NodeEvent.STARTED, options.name(), options.zone(), startedMs);
        ExecutorService executor = closer.add(Executors.newVirtualThreadPerTaskExecutor());
        this.drainState = DrainState.withGracePeriod(options.graceMs());
        this.placer = Placer.create(fleet, options.zone(), options.regions(), ZoneReporter.of(metrics));
        this.streams = closer.add(StoredStreams.start(options.name(), ports.store(), fleet));
        this.origins = closer.add(SharedOrigins.start(options.name(), fleet, streams, metrics));
        this.prompts = PromptGuard.create(options.name(), startedMs, fleet);
        prompts.onBlocked(() -> placer.refuseQueuedIf(
                request -> prompts.refusal(request.callerRequest()).map(RefusedException::new)));
        this.caps = closer.add(
                UsageCaps.create(options.name(), startedMs, options.capBounds(), FleetCaps.of(fleet), fleet, registry));
        this.workspaces = WorkspaceCheck.of(fleet, ports.protocol(), options.applyMs(), options.revokeMs());
        this.receiver = closer.add(RequestReceiver.of(
                requestServer(ports, metrics), executor, drainState::isDraining, receiveMemory, this::inputLimits));
        AtomicReference<Optional<byte[]>> lastReport = new AtomicReference<>(Optional.empty());
        StoredValue crashReport = closer.add(StoredValue.start(
                ports.store(), NodeKeys.crashReport(options.name()), () -> CRASH_REPORT_INTERVAL_MS, lastReport::get));
        this.crashReports = closer.add(CrashReportSender.of(
                options.name(), this::linkAddresses, prompts.parts(), closer.add(CrashReportLinks.create()), report -> {
                    lastReport.set(Optional.of(CrashReportMessages.encode(report)));
                    crashReport.changed();
                }));
        prompts.onReportDue(crashReports::wake);
        crashReports.start();
        AbandonedValues reports = closer.add(AbandonedValues.of(
                CrashReportFollower.of(prompts.parts(), options.name(), crashReport),
                NodeKeys.CRASH_REPORTS,
                CRASH_REPORT_KEPT_MS,
                ports.store(),
                options.name(),
                () -> fleet.current().peers().keySet(),
                System::nanoTime));
        reports.start();
        followStore(ports, reports);
        Peer self = new Peer(options.name(), startedMs, options.zone(), options.callerAddress(), options.linkAddress());
        this.session = StoreSession.start(ports.store(), fleet, self, this::canServe);
        closer.add(session);
        startPlanning(ports, executor, metrics, registry);
        registerGauges(registry);
    }

    /**
     * Starts a node.
     *
     * @param options identity, addresses and limits of the node
     * @param ports store, protocols and connections that it uses
     * @param registry receives its metrics
     * @return the running node; it becomes ready once it has read the configuration and the runners
     * @throws ProgramException if the address for other nodes cannot be bound
     */
    public static Node start(NodeOptions options, NodePorts ports, MetricRegistry registry) throws ProgramException {
        return new Node(options, ports, registry, Closer.create());
    }

    private RequestServer requestServer(NodePorts ports, NodeMetrics metrics) {
        Dispatcher dispatcher = Dispatcher.of(
                fleet,
                placer,
                RetryBudget.of(options.retryBudget()),
                ports.connector(),
                ports.protocol(),
                origins,
                ports.processCheck(),
                prompts);
        StoredVersions currentVersions =
                StoredVersions.of(ports.store(), options.runnersPrefix(), ports.runnerDecoder());
        ResumptionResolver resumptions = ResumptionResolver.of(origins, streams.versions(), currentVersions);
        return RequestServer.of(
                fleet,
                ports.protocol(),
                dispatcher,
                metrics,
                drainState,
                resumptions,
                workspaces,
                caps.admission(),
                options.applyMs());
    }

    private Map<String, PeerAddress> linkAddresses() {
        return fleet.current().peers().values().stream().collect(Collectors.toMap(Peer::node, Peer::linkAddress));
    }

    private void followStore(NodePorts ports, StoreFollower.Listener reports) {
        RunnerFollower runners = RunnerFollower.of(options.runnersPrefix(), ports.runnerDecoder(), fleet);
        PeerFollower peers = PeerFollower.of(fleet);
        RoutingFollower routing = RoutingFollower.of(options.routingKey(), ports.routingDecoder(), fleet);
        List<StoreFollower.FollowedPrefix> prefixes = List.of(
                new StoreFollower.FollowedPrefix(options.routingKey(), routing),
                new StoreFollower.FollowedPrefix(NodeKeys.CRASH_REPORTS, reports),
                new StoreFollower.FollowedPrefix(NodeKeys.STREAMS, streams.follower()),
                new StoreFollower.FollowedPrefix(options.runnersPrefix(), runners),
                new StoreFollower.FollowedPrefix(NodeKeys.PREFIX, peers));
        closer.add(StoreFollower.start(ports.store(), prefixes, this::watchTimes));
        Thread housekeeping = Thread.ofVirtual().name("housekeeping").start(() -> runHousekeeping(runners, peers));
        closer.add(housekeeping::interrupt);
    }

    /**
     * Returns the durations of the next poll of the store. The pause before it grows with the number of nodes, since
     * each of them fetches the changes.
     */
    private WatchTimes watchTimes() {
        int nodes = fleet.current().peers().size();
        return WatchTimes.within(options.applyMs(), Math.max(MIN_POLL_PAUSE_MS, POLL_PAUSE_MS_PER_NODE * nodes));
    }

    private void runHousekeeping(RunnerFollower runners, PeerFollower peers) {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(HOUSEKEEPING_INTERVAL_MS);
                runners.expire();
                peers.expire();
                streams.forgetVersions();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startPlanning(NodePorts ports, ExecutorService executor, NodeMetrics metrics, MetricRegistry registry)
            throws ProgramException {
        Supplier<OptionalLong> leadTerm = session::leadTerm;
        NodeReports reports = NodeReports.create();
        Planner planner = closer.add(Planner.start(
                fleet, reports, leadTerm, options, ports.runnerControl(), executor, metrics, session::stepDown));
        LeaderHandler leader = LeaderHandler.of(fleet, reports, planner, leadTerm, caps);
        registry.gauge("runners.unusual-pace", () -> leader::unusualPaces);
        try {
            LinkHandler handler = LinkHandler.of(leader, origins.handler(), crashReports::receive, caps::takeTokens);
            closer.add(ThriftServer.start(
                    options.linkAddress(),
                    new NodeLink.Processor<>(handler),
                    PeerSecurity.plaintext(),
                    RefusedInputs.of(registry).linkLimits()));
        } catch (WireException e) {
            throw new ProgramException("link " + options.linkAddress() + ": cannot be bound: " + e.getMessage(), e);
        }
        ThriftPeers<NodeLink.Client> links =
                closer.add(ThriftPeers.of(new NodeLink.Client.Factory(), LINK_CONNECT_TIMEOUT_MS));
        caps.startLeading(ports.store(), leadTerm);
        loadReporter = Optional.of(closer.add(LoadReporter.start(options.name(), fleet, placer, leader, links, caps)));
    }

    private void registerGauges(MetricRegistry registry) {
        registry.gauge("requests.open", () -> receiver::openRequests);
        registry.gauge("input.memory.used", () -> receiveMemory::usedBytes);
        registry.gauge("answers.memory.used", () -> receiver::untakenBytes);
        registry.gauge("requests.waiting", () -> placer::queuedCount);
        registry.gauge("requests.waiting.late", () -> () -> placer.waiting().late());
        registry.gauge(
                "requests.waiting.workspaces", () -> () -> placer.waiting().workspaces());
        registry.gauge("queue.operations", () -> () -> placer.waiting().operations());
        registry.gauge("fleet.runners", () -> () -> fleet.current().runners().size());
        registry.gauge("fleet.nodes", () -> () -> fleet.current().peers().size());
        registry.gauge(
                "runners.leaving-by-own-word",
                () -> () -> fleet.leavingByOwnWord().size());
        registry.gauge("runners.quiet", () -> () -> fleet.quietCount(System.nanoTime()));
        registry.gauge("origins.kept", () -> origins::size);
        registry.gauge("parts.blocked", () -> prompts.parts()::blockedCount);
        registry.gauge("parts.suspected", () -> prompts.parts()::suspectedCount);
        registry.gauge("lead.term", () -> () -> session.leadTerm().orElse(0));
    }

    /** Returns the HTTP handler for requests of callers. */
    public HttpHandler requestHandler() {
        return receiver;
    }

    /** Returns what explains where requests would go. */
    public RequestExplainer explainer() {
        return new RequestExplainer(
                options.name(),
                options.zone(),
                fleet,
                placer,
                caps.admission(),
                prompts,
                workspaces,
                drainState,
                options.applyMs(),
                () -> loadReporter.map(LoadReporter::lastAnswerAgeMs).orElse(OptionalLong.empty()));
    }

    private InputLimits inputLimits() {
        return fleet.current().routing().map(RoutingTable::inputLimits).orElse(InputLimits.defaults());
    }

    /**
     * Returns the bounds for the listeners of this node.
     *
     * @param maxDescriptors descriptors that the process may have open
     */
    public ListenerOptions listenerOptions(int maxDescriptors) {
        return new ListenerOptions(
                options.callerAddress(), this::inputLimits, receiveMemory, receiver::inputRefused, maxDescriptors);
    }

    /** Returns the directory that tells callers which nodes to use. */
    public Directory directory() {
        return Directory.of(fleet);
    }

    /** Returns whether the node can serve callers: it knows the fleet and is not draining. */
    public boolean isReady() {
        boolean ready = canServe();
        if (ready && !readyLogged) {
            readyLogged = true;
            Fleet state = fleet.current();
            LOG.write(
                    NodeEvent.READY,
                    options.name(),
                    state.routing().orElseThrow().version(),
                    state.runners().size());
        }
        return ready;
    }

    private boolean canServe() {
        return fleet.current().isInitialised() && !drainState.isDraining();
    }

    /**
     * Drains the node: leaves the fleet, refuses requests that cannot finish in time, and waits for the open ones until
     * the grace period is nearly over.
     */
    @Override
    public void stop() throws InterruptedException {
        LOG.write(NodeEvent.LEAVING, options.name(), receiver.openRequests());
        long stopStartedNanos = System.nanoTime();
        drainState.start(stopStartedNanos);
        caps.release();
        session.close();
        long maxDrainMs = options.graceMs() - EXIT_MARGIN_MS;
        while (elapsedMs(stopStartedNanos) < maxDrainMs - LAST_ANSWERS_MS
                && (elapsedMs(stopStartedNanos) < MIN_DRAIN_MS || receiver.openRequests() > 0)) {
            placer.refuseQueuedUnless(request -> drainState.accepts(request, System.nanoTime()));
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
        drainState.startClosing();
        awaitNoOpenRequests(stopStartedNanos, maxDrainMs - LAST_ANSWERS_MS);
        drainState.startEnding();
        receiver.interruptUnanswered();
        awaitNoOpenRequests(stopStartedNanos, maxDrainMs);
        LOG.write(NodeEvent.LEFT, options.name(), receiver.openRequests());
    }

    private void awaitNoOpenRequests(long startNanos, long untilMs) throws InterruptedException {
        while (elapsedMs(startNanos) < untilMs && receiver.openRequests() > 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    @Override
    public void close() {
        closer.close();
    }
}
