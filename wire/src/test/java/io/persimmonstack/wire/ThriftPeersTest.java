package io.persimmonstack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.wire.gen.ClaimAnswer;
import io.persimmonstack.wire.gen.ClaimRecord;
import io.persimmonstack.wire.gen.ClaimResult;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.RouterPeer;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ThriftPeersTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final ClaimRecord CLAIM = new ClaimRecord("key", "router-1", "print", 1);

    /** Answers claims after a delay, and refuses the key {@code refused} immediately. */
    private record DelayedHandler(long delayMs) implements RouterPeer.Iface {
        @Override
        public ClaimAnswer claim(ClaimRecord claim, int waitMs, Map<String, String> trace) throws WireRefusal {
            if (claim.getKey().equals("refused")) {
                throw new WireRefusal("not-serving", "leaving");
            }
            sleep(delayMs);
            return new ClaimAnswer(ClaimResult.CLAIMED);
        }

        @Override
        public void settle(ClaimRecord outcome, Map<String, String> trace) {}

        @Override
        public void keepCrashReports(List<CrashReportRecord> reports) {}

        private static void sleep(long ms) {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Test
    void repeatedCallsReturnTheAnswer() throws Exception {
        try (ThriftServer server = startServer(0);
                ThriftPeers<RouterPeer.Client> peers = peers()) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            for (int i = 0; i < 3; i++) {
                ClaimAnswer answer = peers.call(address, TIMEOUT_MS, client -> client.claim(CLAIM, 10, Map.of()));
                assertEquals(ClaimResult.CLAIMED, answer.getResult());
            }
        }
    }

    @Test
    void refusalCarriesProgressAndCode() throws Exception {
        try (ThriftServer server = startServer(0);
                ThriftPeers<RouterPeer.Client> peers = peers()) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            ClaimRecord refused = new ClaimRecord("refused", "router-1", "print", 1);
            WireException e = assertThrows(
                    WireException.class,
                    () -> peers.call(address, TIMEOUT_MS, client -> client.claim(refused, 10, Map.of())));
            assertEquals(WireException.Progress.REFUSED, e.progress());
            assertEquals("not-serving", e.refusalCode().orElseThrow());
        }
    }

    @Test
    void timeoutReportsUnknownProgress() throws Exception {
        try (ThriftServer server = startServer(TIMEOUT_MS);
                ThriftPeers<RouterPeer.Client> peers = peers()) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            WireException e = assertThrows(
                    WireException.class, () -> peers.call(address, 50, client -> client.claim(CLAIM, 10, Map.of())));
            assertEquals(WireException.Progress.UNKNOWN, e.progress());
        }
    }

    @Test
    void refusedConnectionReportsCallNotSent() throws Exception {
        ThriftServer server = startServer(0);
        PeerAddress address = new PeerAddress("127.0.0.1", server.port());
        server.close();
        try (ThriftPeers<RouterPeer.Client> peers = peers()) {
            WireException e = assertThrows(
                    WireException.class, () -> peers.call(address, 50, client -> client.claim(CLAIM, 10, Map.of())));
            assertEquals(WireException.Progress.NOT_SENT, e.progress());
        }
    }

    private static ThriftServer startServer(long delayMs) throws WireException {
        return ThriftServer.start(
                new PeerAddress("127.0.0.1", 0),
                new RouterPeer.Processor<RouterPeer.Iface>(new DelayedHandler(delayMs)));
    }

    private static ThriftPeers<RouterPeer.Client> peers() {
        return ThriftPeers.of(new RouterPeer.Client.Factory(), 500);
    }

    /** Answers claims, but none on the connections that it has served before it falls silent. */
    private static final class SilentHandler implements RouterPeer.Iface {
        private static final int CONNECTIONS = 3;
        private final Set<Thread> connections = ConcurrentHashMap.newKeySet();
        private final CountDownLatch allConnected = new CountDownLatch(CONNECTIONS);
        private volatile boolean silent;

        @Override
        public ClaimAnswer claim(ClaimRecord claim, int waitMs, Map<String, String> trace) {
            if (silent && connections.contains(Thread.currentThread())) {
                DelayedHandler.sleep(TIMEOUT_MS);
            } else if (!silent) {
                connections.add(Thread.currentThread());
                allConnected.countDown();
                awaitAllConnected();
            }
            return new ClaimAnswer(ClaimResult.CLAIMED);
        }

        private void awaitAllConnected() {
            try {
                allConnected.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void settle(ClaimRecord outcome, Map<String, String> trace) {}

        @Override
        public void keepCrashReports(List<CrashReportRecord> reports) {}
    }

    /** Guards against one timeout after another where all open connections to a peer have fallen silent at once. */
    @Test
    void oneTimeoutClosesAllConnectionsThatMayBeSilent() throws Exception {
        SilentHandler handler = new SilentHandler();
        try (ThriftServer server =
                        ThriftServer.start(new PeerAddress("127.0.0.1", 0), new RouterPeer.Processor<>(handler));
                ThriftPeers<RouterPeer.Client> peers = peers()) {
            PeerAddress address = new PeerAddress("127.0.0.1", server.port());
            ThriftPeers.Call<RouterPeer.Client, ClaimAnswer> claim = client -> client.claim(CLAIM, 10, Map.of());
            try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
                for (int i = 0; i < SilentHandler.CONNECTIONS; i++) {
                    callers.submit(() -> peers.call(address, TIMEOUT_MS, claim));
                }
            }
            handler.silent = true;
            assertThrows(WireException.class, () -> peers.call(address, 50, claim));
            assertEquals(
                    ClaimResult.CLAIMED,
                    peers.call(address, TIMEOUT_MS / 2, claim).getResult());
        }
    }
}
