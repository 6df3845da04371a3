package io.persimmonstack.node.streams;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.peers.LeaderHandler;
import io.persimmonstack.node.peers.LinkHandler;
import io.persimmonstack.node.peers.LoadExtension;
import io.persimmonstack.node.planning.NodeReports;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.TokenGrant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The part of a node that keeps origins, with its link to other nodes on a port of its own. */
final class LinkedNode implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private final FleetView fleet = FleetView.create();
    private final MetricRegistry registry = new MetricRegistry();
    private final SharedOrigins origins;
    private final ThriftServer server;
    private final Peer peer;

    private LinkedNode(String name, long startedMs, long maxLookupMs) throws WireException {
        this.origins = SharedOrigins.start(name, fleet, StreamArchive.none(), NodeMetrics.in(registry), maxLookupMs);
        LeaderHandler leader =
                LeaderHandler.of(fleet, NodeReports.create(), null, OptionalLong::empty, LoadExtension.NONE);
        LinkHandler handler =
                LinkHandler.of(leader, origins.handler(), reports -> {}, request -> new TokenGrant(0, 0, -1));
        this.server = ThriftServer.start(new PeerAddress("127.0.0.1", 0), new NodeLink.Processor<>(handler));
        this.peer = Peers.peer(name, startedMs, server.port());
    }

    /** Starts a node whose lookups are patient enough for a busy machine. */
    static LinkedNode start(String name, long startedMs) throws WireException {
        return start(name, startedMs, TIMEOUT_MS);
    }

    /** Starts a node and waits until it answers, since a server must not be closed before it accepts. */
    static LinkedNode start(String name, long startedMs, long maxLookupMs) throws WireException {
        LinkedNode node = new LinkedNode(name, startedMs, maxLookupMs);
        try (ThriftPeers<NodeLink.Client> links = ThriftPeers.of(new NodeLink.Client.Factory(), TIMEOUT_MS)) {
            links.call(node.peer.linkAddress(), TIMEOUT_MS, client -> client.findOrigin("started"));
        }
        return node;
    }

    /** Replaces the nodes that this one lists. */
    void list(Map<String, Peer> peers) {
        fleet.update(now -> now.withPeers(peers, Optional.empty()));
    }

    Peer peer() {
        return peer;
    }

    SharedOrigins origins() {
        return origins;
    }

    /** Returns whether this node itself knows an origin, without asking others. */
    boolean holds(String request) {
        return !origins.handler().findOrigin(request).isEmpty();
    }

    long count(String metric) {
        return registry.counter(metric).getCount();
    }

    /** Ends the link, as if the process had been killed. */
    @Override
    public void close() {
        server.close();
        origins.close();
    }
}
