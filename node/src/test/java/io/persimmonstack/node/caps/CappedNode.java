package io.persimmonstack.node.caps;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.coordination.cap.ClockReading;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.node.config.UsageCap;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.request.TokenCount;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.StreamOrigin;
import io.persimmonstack.wire.gen.TokenGrant;
import io.persimmonstack.wire.gen.TokenRequest;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** The part of a node that keeps usage caps, with its link to other nodes on a port of its own. */
final class CappedNode implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int REPORT_INTERVAL_MS = 20;

    /** Workspace of the requests. */
    private final Workspace workspace;

    private final AtomicReference<CappedNode> leader;
    private final FleetView fleet = FleetView.create();
    private final MetricRegistry registry = new MetricRegistry();
    private final UsageCaps caps;
    private final ThriftServer server;
    private final ThriftPeers<NodeLink.Client> links = ThriftPeers.of(new NodeLink.Client.Factory(), TIMEOUT_MS);
    private final Peer peer;
    private final Thread reporter = Thread.ofVirtual().unstarted(this::report);
    private volatile OptionalLong term = OptionalLong.empty();
    private volatile NodeLoad lastReport;

    private CappedNode(
            String name,
            long startedMs,
            CapBounds bounds,
            Workspace workspace,
            KvStore store,
            AtomicReference<CappedNode> leader)
            throws WireException {
        this.workspace = workspace;
        this.leader = leader;
        this.caps = UsageCaps.create(name, startedMs, bounds, sourceOf(workspace), fleet, registry);
        this.server = ThriftServer.start(new PeerAddress("127.0.0.1", 0), new NodeLink.Processor<>(new Link()));
        PeerAddress address = new PeerAddress("127.0.0.1", server.port());
        this.peer = new Peer(name, startedMs, "z", address, address);
        caps.startLeading(store, () -> term);
    }

    /** Starts a node and waits until it answers, since a server must not be closed before it accepts. */
    static CappedNode start(
            String name,
            long startedMs,
            CapBounds bounds,
            Workspace workspace,
            KvStore store,
            AtomicReference<CappedNode> leader)
            throws WireException {
        CappedNode node = new CappedNode(name, startedMs, bounds, workspace, store, leader);
        node.links.call(node.peer.linkAddress(), TIMEOUT_MS, client -> client.findOrigin("started"));
        node.reporter.start();
        return node;
    }

    private static CapSource sourceOf(Workspace workspace) {
        return new CapSource() {
            @Override
            public boolean hasCaps() {
                return workspace.cap().isPresent();
            }

            @Override
            public Optional<UsageCap> capOf(String name) {
                return name.equals(workspace.name()) ? workspace.cap() : Optional.empty();
            }
        };
    }

    /** Answers the calls of other nodes. */
    private final class Link implements NodeLink.Iface {
        @Override
        public FleetLoad exchange(NodeLoad load) throws WireRefusal {
            OptionalLong leading = term;
            if (leading.isEmpty()) {
                throw new WireRefusal("not-leading", "");
            }
            FleetLoad answer = new FleetLoad(leading.getAsLong(), 0, 0, List.of(), List.of(), List.of(), 0);
            caps.exchange(leading.getAsLong(), load, answer);
            return answer;
        }

        @Override
        public void keepOrigins(List<StreamOrigin> origins) {}

        @Override
        public List<StreamOrigin> findOrigin(String request) {
            return List.of();
        }

        @Override
        public void keepCrashReports(List<CrashReportRecord> reports) {}

        @Override
        public TokenGrant takeTokens(TokenRequest request) {
            return caps.takeTokens(request);
        }
    }

    private void report() {
        try {
            while (true) {
                CappedNode present = leader.get();
                if (present != null) {
                    reportTo(present);
                }
                TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportTo(CappedNode present) {
        NodeLoad load = new NodeLoad(peer.node(), 0, 0, 0, List.of(), List.of(), List.of(), 0, 0);
        ClockReading sent = ClockReading.now();
        caps.prepareReport(load, sent);
        lastReport = load;
        try {
            caps.applyAnswer(links.call(present.peer.linkAddress(), TIMEOUT_MS, client -> client.exchange(load)), sent);
        } catch (WireException e) {
            // As in a node, the next report tries again.
        }
    }

    /** Makes this node the leader, or ends its lead. */
    void lead(OptionalLong newTerm) {
        term = newTerm;
    }

    void list(Map<String, Peer> peers) {
        fleet.update(now -> now.withPeers(peers, Optional.empty()));
    }

    Peer peer() {
        return peer;
    }

    int heldSlots() {
        return caps.heldCount();
    }

    void release() {
        caps.release();
    }

    NodeLoad lastReport() {
        return lastReport;
    }

    long count(String metric) {
        return registry.counter(metric).getCount();
    }

    /** Counts a request of the workspace. */
    AdmittedTokens admit(int tokens) throws RefusedException {
        CallerRequest request = new CallerRequest(
                "r",
                "POST",
                "h",
                "/",
                "/",
                List.of(),
                new byte[0],
                OptionalInt.empty(),
                Optional.empty(),
                new TokenCount(tokens, 0, 0),
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        return caps.admission().admit(Optional.of(workspace), request, 0);
    }

    /** Returns whether a request is admitted. */
    boolean admits(int tokens) {
        try {
            admit(tokens);
            return true;
        } catch (RefusedException e) {
            return false;
        }
    }

    /** Ends the node, as if the process had been killed. */
    @Override
    public void close() {
        reporter.interrupt();
        server.close();
        caps.close();
        links.close();
    }
}
