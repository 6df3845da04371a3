package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.NodeLink;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;

/**
 * Measures what the origins of streams cost: bytes, memory, the choice of holders in large fleets, and the time until a
 * copy has arrived over loopback. It prints one line for each; {@code build/bench/origin-cost} runs it.
 */
final class OriginsBenchmark {
    private static final StreamOrigin ORIGIN = new StreamOrigin("sv-interactive", "v2026.12.4-1");
    private static final long VALID_MS = 60_000;
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int DELIVERED_STREAMS = 79;
    private static final int ROUNDS = 2_000;
    private static final int CONNECTIONS = 369;
    private static final int TIMEOUT_MS = 5_000;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double PERCENT = 100;

    private OriginsBenchmark() {}

    /** Runs all measurements. */
    public static void main(String[] arguments) throws Exception {
        printMessages();
        printMemoryPerOrigin();
        for (int nodes : new int[] {10, 95, 370}) {
            printSchedule(nodes);
        }
        printLatency();
        printMemoryPerConnection();
    }

    private static String request(int i) {
        return String.format("%016x", i * 0x9e3779b97f4a7c15L);
    }

    private static int callBytes(int copies) throws TException {
        try (TMemoryBuffer buffer = new TMemoryBuffer(0)) {
            List<io.persimmonstack.wire.gen.StreamOrigin> messages = IntStream.range(0, copies)
                    .mapToObj(i -> OriginMessages.toMessage(new OriginCopy(request(i), ORIGIN, VALID_MS)))
                    .toList();
            new NodeLink.Client(new TCompactProtocol(buffer)).send_keepOrigins(messages);
            return buffer.length() + FRAME_HEADER_BYTES;
        }
    }

    private static void printMessages() throws TException {
        System.out.printf("bytes of a call with one copy=%d with ten=%d%n", callBytes(1), callBytes(10));
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void printMemoryPerOrigin() throws InterruptedException {
        StreamOrigins origins = StreamOrigins.create();
        long before = usedHeapBytes();
        for (int i = 0; i < StreamOrigins.MAX_ORIGINS; i++) {
            origins.keep(
                    request(i),
                    new StreamOrigin(new String(ORIGIN.service()), new String(ORIGIN.softwareVersion())),
                    VALID_MS,
                    0);
        }
        long bytes = usedHeapBytes() - before;
        System.out.printf("heap bytes of an origin=%d of all=%d%n", bytes / origins.size(), bytes);
    }

    /** Returns the processor time of a round, which other programs on the machine do not lengthen. */
    private static double microsPerRound(IntConsumer round) {
        for (int i = 0; i < ROUNDS; i++) {
            round.accept(i);
        }
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long startedNanos = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < ROUNDS; i++) {
            round.accept(ROUNDS + i);
        }
        return (threads.getCurrentThreadCpuTime() - startedNanos) / NANOS_PER_MICRO / ROUNDS;
    }

    private static void printSchedule(int nodes) {
        Map<String, Peer> peers = Peers.numbered(nodes);
        CopySchedule schedule = CopySchedule.of("n0");
        schedule.updatePeers(peers, 0);
        double streamMicros = microsPerRound(i -> {
            DeliveredStream stream = DeliveredStream.of(request(i), ORIGIN, VALID_MS);
            schedule.add(stream, 0);
            schedule.takeBatches(0).forEach(batch -> schedule.finished(batch, true, 0));
            stream.close();
            schedule.renew(0);
        });
        for (int i = 0; i < DELIVERED_STREAMS; i++) {
            schedule.add(DeliveredStream.of(request(i), ORIGIN, VALID_MS), 0);
        }
        Map<String, Peer> fewer = Peers.without(peers, peers.get("n1"));
        double changeMicros = microsPerRound(i -> schedule.updatePeers(i % 2 == 0 ? fewer : peers, 0));
        System.out.printf(
                "nodes=%d processor microseconds of a stream=%.1f of a change of the fleet with %d streams=%.0f%n",
                nodes, streamMicros, DELIVERED_STREAMS, changeMicros);
    }

    private static void printLatency() throws Exception {
        try (Closer closer = Closer.create()) {
            LinkedNode a = closer.add(LinkedNode.start("a", 1));
            LinkedNode b = closer.add(LinkedNode.start("b", 1));
            LinkedNode c = closer.add(LinkedNode.start("c", 1));
            Map<String, Peer> peers = Peers.byName(a.peer(), b.peer(), c.peer());
            List.of(a, b, c).forEach(node -> node.list(peers));
            long[] nanos = new long[ROUNDS];
            for (int i = 0; i < 2 * ROUNDS; i++) {
                String request = request(i);
                long startedNanos = System.nanoTime();
                a.origins().keep(request, ORIGIN, VALID_MS).close();
                while (!b.holds(request) || !c.holds(request)) {
                    Thread.onSpinWait();
                }
                nanos[i % ROUNDS] = System.nanoTime() - startedNanos;
                TimeUnit.MILLISECONDS.sleep(1);
            }
            Arrays.sort(nanos);
            System.out.printf(
                    "microseconds until both copies have arrived p50=%.0f p99=%.0f max=%.0f%n",
                    nanos[ROUNDS / 2] / NANOS_PER_MICRO,
                    nanos[(int) (ROUNDS * 99 / PERCENT)] / NANOS_PER_MICRO,
                    nanos[ROUNDS - 1] / NANOS_PER_MICRO);
        }
    }

    private static void printMemoryPerConnection() throws Exception {
        try (Closer closer = Closer.create()) {
            LinkedNode node = closer.add(LinkedNode.start("a", 1));
            long before = usedHeapBytes();
            for (int i = 0; i < CONNECTIONS; i++) {
                connect(closer, node);
            }
            System.out.printf("heap bytes of a connection, both ends=%d%n", (usedHeapBytes() - before) / CONNECTIONS);
        }
    }

    private static void connect(Closer closer, LinkedNode node) throws WireException {
        ThriftPeers<NodeLink.Client> links = closer.add(ThriftPeers.of(new NodeLink.Client.Factory(), TIMEOUT_MS));
        links.call(node.peer().linkAddress(), TIMEOUT_MS, client -> client.findOrigin("r"));
    }
}
