package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.TokenGrant;
import io.persimmonstack.wire.gen.TokenRequest;
import io.persimmonstack.wire.gen.WireRefusal;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class SharedOriginsTest {
    private static final StreamOrigin V1 = new StreamOrigin("chat", "v1");
    /** Long enough that no copy is renewed while a test waits. */
    private static final long VALID_MS = StreamOrigins.MAX_VALID_MS;

    private static final long MAX_AWAIT_MS = 20_000;
    private final Closer closer = Closer.create();

    @AfterEach
    void close() {
        closer.close();
    }

    private LinkedNode start(String name, long startedMs) throws WireException {
        return closer.add(LinkedNode.start(name, startedMs));
    }

    private static Map<String, Peer> peers(LinkedNode... nodes) {
        return Peers.byName(Arrays.stream(nodes).map(LinkedNode::peer).toList());
    }

    private static void listEachOther(LinkedNode... nodes) {
        Arrays.stream(nodes).forEach(node -> node.list(peers(nodes)));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_AWAIT_MS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "condition not met in time");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Returns an address that accepts connections and never answers. */
    private Peer silentPeer(String name) throws Exception {
        ServerSocket socket = closer.add(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
        return Peers.peer(name, 1, socket.getLocalPort());
    }

    @Test
    void copiesArriveAndAnyNodeFindsTheOrigin() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        LinkedNode c = start("c", 1);
        LinkedNode d = start("d", 1);
        listEachOther(a, b, c, d);
        a.origins().keep("r", V1, VALID_MS);
        await(() -> a.count("origins.copies.sent") == OriginHolders.COPIES);
        assertEquals(
                2, List.of(b, c, d).stream().filter(node -> node.holds("r")).count());
        for (LinkedNode node : List.of(a, b, c, d)) {
            assertEquals(Optional.of(V1), node.origins().find("r"));
            assertTrue(node.holds("r"), "a found origin is kept");
        }
        assertEquals(1, a.count("origins.lookups.local"));
        assertEquals(
                1,
                b.count("origins.lookups.elsewhere")
                        + c.count("origins.lookups.elsewhere")
                        + d.count("origins.lookups.elsewhere"));
    }

    @Test
    void originIsFoundAfterItsNodeAndOneHolderHaveDied() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        LinkedNode c = start("c", 1);
        LinkedNode d = start("d", 1);
        listEachOther(a, b, c, d);
        a.origins().keep("r", V1, VALID_MS);
        await(() -> a.count("origins.copies.sent") == OriginHolders.COPIES);
        List<LinkedNode> holders =
                List.of(b, c, d).stream().filter(node -> node.holds("r")).toList();
        LinkedNode other = List.of(b, c, d).stream()
                .filter(node -> !node.holds("r"))
                .findFirst()
                .orElseThrow();
        a.close();
        holders.getFirst().close();
        assertEquals(Optional.of(V1), other.origins().find("r"));
    }

    /** Failure: only nodes that rank like holders were asked, so that a stream was refused though its node lives. */
    @Test
    void originIsFoundAtTheDeliveringNodeAfterBothHoldersHaveDied() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        LinkedNode c = start("c", 1);
        LinkedNode d = start("d", 1);
        LinkedNode e = start("e", 1);
        listEachOther(a, b, c, d, e);
        String request = requestForWhichNodeRanksLast("a", peers(a, b, c, d, e));
        a.origins().keep(request, V1, VALID_MS);
        await(() -> a.count("origins.copies.sent") == OriginHolders.COPIES);
        List<LinkedNode> holders =
                List.of(b, c, d, e).stream().filter(node -> node.holds(request)).toList();
        LinkedNode other = List.of(b, c, d, e).stream()
                .filter(node -> !node.holds(request))
                .findFirst()
                .orElseThrow();
        holders.forEach(LinkedNode::close);
        assertEquals(Optional.of(V1), other.origins().find(request));
    }

    private static String requestForWhichNodeRanksLast(String name, Map<String, Peer> peers) {
        return IntStream.range(0, 1_000)
                .mapToObj(i -> "r" + i)
                .filter(request -> OriginHolders.ranked(request, peers, "", peers.size())
                        .getLast()
                        .node()
                        .equals(name))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void restartedHolderGetsTheCopyAgain() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        listEachOther(a, b);
        a.origins().keep("r", V1, VALID_MS);
        await(() -> b.holds("r"));
        b.close();
        LinkedNode restarted = start("b", 2);
        listEachOther(a, restarted);
        await(() -> restarted.holds("r"));
    }

    @Test
    void endedStreamIsNotCopiedToNodesThatJoin() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        listEachOther(a, b);
        OriginDirectory.KeptOrigin ended = a.origins().keep("ended", V1, VALID_MS);
        a.origins().keep("delivered", V1, VALID_MS);
        await(() -> a.count("origins.copies.sent") == 2);
        ended.close();
        LinkedNode c = start("c", 1);
        listEachOther(a, b, c);
        await(() -> c.holds("delivered"));
        assertFalse(c.holds("ended"));
    }

    @Test
    void rollingRestartOfAllOtherNodesKeepsTheOrigin() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode[] nodes = {a, start("b", 1), start("c", 1), start("d", 1)};
        listEachOther(nodes);
        a.origins().keep("r", V1, VALID_MS);
        for (int i = 1; i < nodes.length; i++) {
            await(() -> Arrays.stream(nodes).filter(node -> node.holds("r")).count() >= 1 + OriginHolders.COPIES);
            nodes[i].close();
            nodes[i] = start(nodes[i].peer().node(), 2);
            listEachOther(nodes);
        }
        a.close();
        for (LinkedNode node : List.of(nodes[1], nodes[2], nodes[3])) {
            await(() -> node.holds("r")
                    || Arrays.stream(nodes).filter(other -> other.holds("r")).count() > 2);
            assertEquals(Optional.of(V1), node.origins().find("r"));
        }
    }

    @Test
    void silentHolderDelaysNeitherTheOtherOneNorTheLookup() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        LinkedNode c = start("c", 1);
        Map<String, Peer> peers = Peers.with(peers(a, b, c), silentPeer("silent"));
        List.of(a, b, c).forEach(node -> node.list(peers));
        for (int i = 0; i < 50; i++) {
            String request = "r" + i;
            a.origins().keep(request, V1, VALID_MS);
            await(() -> b.holds(request) || c.holds(request));
            assertEquals(Optional.of(V1), c.origins().find(request));
        }
    }

    @Test
    void unknownOriginIsEmpty() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        listEachOther(a, b);
        assertEquals(Optional.empty(), a.origins().find("r"));
        assertEquals(1, a.count("origins.lookups.unknown"));
    }

    @Test
    void lookupEndsIfNobodyCanBeReached() throws Exception {
        LinkedNode a = closer.add(LinkedNode.start("a", 1, OriginLookup.MAX_WAIT_MS));
        LinkedNode gone = start("gone", 1);
        gone.close();
        a.list(Peers.byName(a.peer(), gone.peer(), silentPeer("s1"), silentPeer("s2")));
        assertEquals(Optional.empty(), a.origins().find("r"));
        a.list(peers(a));
        assertEquals(Optional.empty(), a.origins().find("r"));
        assertEquals(2, a.count("origins.lookups.unknown"));
    }

    @Test
    void copyThatArrivesAfterTheFirstAskIsFound() throws Exception {
        LinkedNode a = start("a", 1);
        AtomicInteger asks = new AtomicInteger();
        NodeLink.Iface late = new NodeLink.Iface() {
            @Override
            public FleetLoad exchange(NodeLoad load) throws WireRefusal {
                throw new WireRefusal("not-leading", "test");
            }

            @Override
            public void keepOrigins(List<io.persimmonstack.wire.gen.StreamOrigin> origins) {}

            @Override
            public void keepCrashReports(List<CrashReportRecord> reports) {}

            @Override
            public TokenGrant takeTokens(TokenRequest request) {
                return new TokenGrant(0, 0, -1);
            }

            @Override
            public List<io.persimmonstack.wire.gen.StreamOrigin> findOrigin(String request) {
                return asks.incrementAndGet() == 1
                        ? List.of()
                        : List.of(OriginMessages.toMessage(new OriginCopy(request, V1, VALID_MS)));
            }
        };
        ThriftServer server =
                closer.add(ThriftServer.start(new PeerAddress("127.0.0.1", 0), new NodeLink.Processor<>(late)));
        a.list(Peers.byName(a.peer(), Peers.peer("late", 1, server.port())));
        assertEquals(Optional.of(V1), a.origins().find("r"));
        assertEquals(2, asks.get());
    }

    @Test
    void tooLongIdentifierIsNotAskedFor() throws Exception {
        LinkedNode a = start("a", 1);
        LinkedNode b = start("b", 1);
        listEachOther(a, b);
        String tooLong = "x".repeat(OriginHandler.MAX_TEXT_LENGTH + 1);
        a.origins().keep(tooLong, V1, VALID_MS).close();
        assertEquals(0, a.origins().size());
        assertEquals(Optional.empty(), a.origins().find(tooLong));
        assertEquals(1, a.count("origins.lookups.unknown"));
    }

    @Test
    void interruptedLookupEnds() throws Exception {
        LinkedNode a = start("a", 1);
        a.list(Peers.byName(a.peer(), silentPeer("s1")));
        Thread.currentThread().interrupt();
        assertThrows(InterruptedException.class, () -> a.origins().find("r"));
    }

    @Test
    void copiesForASilentNodeAreBoundedAndDropped() throws Exception {
        LinkedNode a = start("a", 1);
        a.list(Peers.byName(a.peer(), silentPeer("s1")));
        for (int i = 0; i < CopySchedule.MAX_WAITING * 2; i++) {
            a.origins().keep("r" + i, V1, VALID_MS);
        }
        await(() -> a.count("origins.copies.dropped") > 0);
        assertEquals(CopySchedule.MAX_WAITING * 2, a.origins().size());
    }

    @Test
    void fullQueueDropsCopiesInsteadOfBlocking() {
        MetricRegistry registry = new MetricRegistry();
        ThriftPeers<NodeLink.Client> links = closer.add(ThriftPeers.of(new NodeLink.Client.Factory(), 100));
        CopySender notStarted = closer.add(
                CopySender.of("a", FleetView.create(), StreamOrigins.create(), links, NodeMetrics.in(registry)));
        for (int i = 0; i < CopySender.MAX_QUEUED + 5; i++) {
            notStarted.add(DeliveredStream.of("r" + i, V1, VALID_MS));
        }
        assertEquals(
                5 * OriginHolders.COPIES,
                registry.counter("origins.copies.dropped").getCount());
    }
}
