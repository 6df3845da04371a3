package io.persimmonstack.node;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.node.callers.Departure;
import io.persimmonstack.node.callers.Directory;
import io.persimmonstack.node.callers.RequestReceiver;
import io.persimmonstack.node.callers.RequestServer;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.peers.LeaderHandler;
import io.persimmonstack.node.peers.LoadReporter;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.placing.RetryBudget;
import io.persimmonstack.node.planning.NodeReports;
import io.persimmonstack.node.planning.Planner;
import io.persimmonstack.node.sending.Dispatcher;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.PeerFollower;
import io.persimmonstack.node.store.RoutingFollower;
import io.persimmonstack.node.store.RunnerFollower;
import io.persimmonstack.node.store.StoreFollower;
import io.persimmonstack.node.store.StoreSession;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.NodeLink;
import io.undertow.server.HttpHandler;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** One node of the fleet: data path, directory and, while elected, planner. */
public final class Node implements RunningProgram {
    private static final EventLog LOG = EventLog.of(Node.class);
    private static final int CONNECT_MS = 400;
    private static final int POLL_MS = 50;
    private static final int GATHER_MS_PER_NODE = 20;
    private static final int LEAST_GATHER_MS = 500;
    private static final int HOUSEKEEPING_MS = 200;
    private static final long LINGER_MS = 3_200;
    private static final long EXIT_MS = 400;
    private final NodeOptions options;
    private final Closer closer;
    private final FleetView fleet;
    private final RequestReceiver receiver;
    private final StoreSession session;
    private final Departure departure;
    private final Placer placer;
    private volatile boolean readyLogged;

    private Node(NodeOptions options, NodePorts ports, MetricRegistry registry, Closer closer) throws ProgramException {
        this.options = options;
        this.closer = closer;
        this.fleet = FleetView.create();
        NodeMetrics metrics = NodeMetrics.in(registry);
        long startedMs = System.currentTimeMillis();
        LOG.write(NodeEvent.STARTED, options.name(), options.zone(), startedMs);
        ExecutorService threads = closer.add(Executors.newVirtualThreadPerTaskExecutor());
        this.departure = Departure.within(options.graceMs());
        this.placer = Placer.following(fleet, options.zone());
        Dispatcher dispatcher =
                Dispatcher.of(fleet, placer, RetryBudget.of(options.budget()), ports.connector(), ports.protocol());
        RequestServer server = RequestServer.of(fleet, ports.protocol(), dispatcher, metrics, departure);
        this.receiver = closer.add(RequestReceiver.of(server, threads, departure::hasBegun));
        follow(ports);
        Peer self = new Peer(options.name(), startedMs, options.zone(), options.callers(), options.link());
        this.session = StoreSession.start(ports.store(), fleet, self, this::canServe);
        closer.add(session);
        startPlanning(ports, threads, metrics);
        gauges(registry);
    }

    /**
     * Starts a node.
     *
     * @param options what it is told
     * @param ports what it speaks to
     * @param registry where it counts
     * @return the running node, ready once it knows the fleet
     * @throws ProgramException if a port cannot be bound
     */
    public static Node start(NodeOptions options, NodePorts ports, MetricRegistry registry) throws ProgramException {
        return new Node(options, ports, registry, Closer.create());
    }

    private void follow(NodePorts ports) {
        RunnerFollower runners = RunnerFollower.of(options.runnersPrefix(), ports.runners(), fleet);
        PeerFollower peers = PeerFollower.of(fleet);
        RoutingFollower routing = RoutingFollower.of(options.routingKey(), ports.routing(), fleet);
        List<StoreFollower.Subject> subjects = List.of(
                new StoreFollower.Subject(options.routingKey(), routing),
                new StoreFollower.Subject(options.runnersPrefix(), runners),
                new StoreFollower.Subject(NodeKeys.PREFIX, peers));
        closer.add(StoreFollower.start(ports.store(), subjects, this::gatherMs));
        Thread housekeeping = Thread.ofVirtual().name("housekeeping").start(() -> keepHouse(runners, peers));
        closer.add(housekeeping::interrupt);
    }

    /** Returns how long changes in the store may gather: the more nodes ask for them, the less often each one does. */
    private int gatherMs() {
        int nodes = fleet.current().peers().size();
        return Math.clamp((long) GATHER_MS_PER_NODE * nodes, LEAST_GATHER_MS, options.applyMs() / 2);
    }

    private void keepHouse(RunnerFollower runners, PeerFollower peers) {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(HOUSEKEEPING_MS);
                runners.expire();
                peers.expire();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startPlanning(NodePorts ports, ExecutorService threads, NodeMetrics metrics) throws ProgramException {
        Supplier<OptionalLong> leadTerm = session::leadTerm;
        NodeReports reports = NodeReports.none();
        Planner planner = closer.add(
                Planner.start(fleet, reports, leadTerm, options, ports.control(), threads, metrics, session::depose));
        LeaderHandler leader = LeaderHandler.of(fleet, reports, planner, leadTerm);
        try {
            closer.add(ThriftServer.start(options.link(), new NodeLink.Processor<>(leader)));
        } catch (WireException e) {
            throw new ProgramException("link " + options.link() + ": cannot be bound: " + e.getMessage(), e);
        }
        ThriftPeers<NodeLink.Client> links = closer.add(ThriftPeers.of(new NodeLink.Client.Factory(), CONNECT_MS));
        closer.add(LoadReporter.start(options.name(), fleet, placer, leader, links));
    }

    private void gauges(MetricRegistry registry) {
        registry.gauge("requests.open", () -> receiver::open);
        registry.gauge("requests.waiting", () -> placer::waiting);
        registry.gauge("fleet.runners", () -> () -> fleet.current().runners().size());
        registry.gauge("fleet.nodes", () -> () -> fleet.current().peers().size());
        registry.gauge("lead.term", () -> () -> session.leadTerm().orElse(0));
    }

    /** Returns the handler of callers' requests. */
    public HttpHandler requests() {
        return receiver;
    }

    /** Returns the directory for callers. */
    public Directory directory() {
        return Directory.of(fleet);
    }

    /** Returns whether callers may be sent here. */
    public boolean isReady() {
        boolean ready = canServe();
        if (ready && !readyLogged) {
            readyLogged = true;
            Fleet known = fleet.current();
            LOG.write(
                    NodeEvent.READY,
                    options.name(),
                    known.routing().orElseThrow().version(),
                    known.runners().size());
        }
        return ready;
    }

    private boolean canServe() {
        return fleet.current().isKnown() && !departure.hasBegun();
    }

    @Override
    public void stop() throws InterruptedException {
        LOG.write(NodeEvent.LEAVING, options.name(), receiver.open());
        long begunNanos = System.nanoTime();
        departure.begin(begunNanos);
        session.close();
        long leftMs = options.graceMs() - EXIT_MS;
        while (elapsedMs(begunNanos) < leftMs && (elapsedMs(begunNanos) < LINGER_MS || receiver.open() > 0)) {
            placer.refuseUnless(request -> departure.takes(request.route(), System.nanoTime()));
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        LOG.write(NodeEvent.LEFT, options.name(), receiver.open());
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    @Override
    public void close() {
        closer.close();
    }
}
