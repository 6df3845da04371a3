package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

@Timeout(60)
class HttpConnectorTest {
    private static final HttpTimeouts PATIENT = HttpTimeouts.of(5_000, 20_000, 20_000);
    private static final HttpTimeouts HASTY = HttpTimeouts.of(5_000, 300, 300);
    private static final int MAX_BYTES = 1 << 20;
    private static final int READ_BYTES = 8 * 1024;
    private static final int HUGE_BYTES = 8 << 20;
    private final MetricRegistry metrics = new MetricRegistry();
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults(metrics));

    @AfterEach
    void close() {
        connector.close();
    }

    private interface FaultScript {
        void afterRequest(ScriptedServer.Peer peer) throws Exception;
    }

    private static Arguments fault(String name, HttpFailure.Kind kind, HttpTimeouts timeouts, FaultScript script) {
        return Arguments.of(name, kind, timeouts, script);
    }

    static Stream<Arguments> faults() {
        String head = "HTTP/1.1 200 OK\r\n";
        return Stream.of(
                fault("closes without an answer", HttpFailure.Kind.LOST, PATIENT, peer -> {}),
                fault(
                        "silent before the head",
                        HttpFailure.Kind.FIRST_BYTE_TIMEOUT,
                        HASTY,
                        ScriptedServer.Peer::awaitClose),
                fault("silent within the head", HttpFailure.Kind.FIRST_BYTE_TIMEOUT, HASTY, peer -> {
                    peer.send(head);
                    peer.awaitClose();
                }),
                fault("silent within a fixed body", HttpFailure.Kind.PROGRESS_TIMEOUT, HASTY, peer -> {
                    peer.send(head + "Content-Length: 10\r\n\r\nabc");
                    peer.awaitClose();
                }),
                fault("silent within a chunked body", HttpFailure.Kind.PROGRESS_TIMEOUT, HASTY, peer -> {
                    peer.send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
                    peer.awaitClose();
                }),
                fault("truncated fixed body", HttpFailure.Kind.LOST, PATIENT, peer -> {
                    peer.send(head + "Content-Length: 10\r\n\r\nabc");
                }),
                fault("truncated chunked body", HttpFailure.Kind.LOST, PATIENT, peer -> {
                    peer.send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
                }),
                fault(
                        "no status line",
                        HttpFailure.Kind.LOST,
                        PATIENT,
                        peer -> peer.send("\u0000\u0001garbage\r\n\r\n")),
                fault("chunk size that is no number", HttpFailure.Kind.LOST, PATIENT, peer -> {
                    peer.send(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n");
                    peer.awaitClose();
                }),
                fault("endless head", HttpFailure.Kind.TOO_LARGE, PATIENT, peer -> {
                    peer.send(head);
                    while (true) {
                        peer.send("X-More: " + "y".repeat(1000) + "\r\n");
                    }
                }),
                fault("endless header value", HttpFailure.Kind.TOO_LARGE, PATIENT, peer -> {
                    peer.send(head + "X-More: ");
                    while (true) {
                        peer.send("y".repeat(1000));
                    }
                }),
                fault("another request's answer", HttpFailure.Kind.MISMATCH, PATIENT, peer -> {
                    peer.send(head + "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nabc");
                    peer.awaitClose();
                }),
                fault("larger than accepted", HttpFailure.Kind.TOO_LARGE, PATIENT, peer -> {
                    peer.send(head + "Content-Length: " + HUGE_BYTES + "\r\n\r\n" + "x".repeat(HUGE_BYTES));
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void faultFailsTheCallAndNeverTheNext(String name, HttpFailure.Kind kind, HttpTimeouts timeouts, FaultScript script)
            throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            peer.request();
            if (number == 1) {
                script.afterRequest(peer);
            } else {
                peer.answer("fine");
                peer.awaitClose();
            }
        })) {
            HttpRequest request = HttpRequest.postJson("/x", "{}").with("X-Request-Id", "mine");
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server.address(), request, timeouts));
            assertEquals(kind, failure.kind(), failure.getMessage());
            assertTrue(failure.sent());
            assertEquals("fine", fetch(server.address(), request, PATIENT));
            assertEquals(2, server.accepted());
        }
    }

    @Test
    void endlessHeadIsCutWhileEveryVirtualThreadIsBusy() throws Exception {
        try (BusyVirtualThreads busy = BusyVirtualThreads.start();
                ScriptedServer server = ScriptedServer.start((peer, number) -> {
                    peer.request();
                    peer.send("HTTP/1.1 200 OK\r\n");
                    while (true) {
                        peer.send("X-More: " + "y".repeat(1000) + "\r\n");
                    }
                })) {
            HttpFailure failure =
                    assertThrows(HttpFailure.class, () -> fetch(server.address(), HttpRequest.get("/"), PATIENT));
            assertEquals(HttpFailure.Kind.TOO_LARGE, failure.kind(), failure.getMessage());
        }
    }

    @Test
    void refusedConnectionSendsNothing() throws Exception {
        PeerAddress nobody = ScriptedServer.nobody();
        HttpFailure failure =
                assertThrows(HttpFailure.class, () -> connector.open(nobody, HttpRequest.get("/"), PATIENT));
        assertEquals(HttpFailure.Kind.CONNECT, failure.kind());
        assertFalse(failure.sent());
    }

    @Test
    void connectionIsReusedAfterTheBodyWasRead() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            while (!peer.request().isEmpty()) {
                peer.answer("same");
            }
        })) {
            for (int i = 0; i < 3; i++) {
                assertEquals("same", fetch(server.address(), HttpRequest.get("/"), PATIENT));
            }
            assertEquals(1, server.accepted());
        }
    }

    @Test
    void connectionThatTheOtherSideEndsIsNotReused() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            peer.request();
            peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast");
            peer.awaitClose();
        })) {
            assertEquals("last", fetch(server.address(), HttpRequest.get("/"), PATIENT));
            assertEquals("last", fetch(server.address(), HttpRequest.get("/"), PATIENT));
            assertEquals(2, server.accepted());
        }
    }

    @Test
    void unaskedAnswerIsNeverTakenForTheNext() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            while (!peer.request().isEmpty()) {
                String late = number == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate" : "";
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine" + late);
            }
        })) {
            for (int i = 0; i < 3; i++) {
                assertEquals("mine", fetch(server.address(), HttpRequest.get("/"), PATIENT));
            }
        }
    }

    @Test
    void connectionClosedWhileIdleIsReplaced() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            peer.request();
            peer.answer("once");
        })) {
            assertEquals("once", fetch(server.address(), HttpRequest.get("/"), PATIENT));
            awaitCount(CloseCause.PEER, 1);
            assertEquals("once", fetch(server.address(), HttpRequest.get("/"), PATIENT));
        }
    }

    @Test
    void freshCallUsesNoIdleConnection() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            peer.request();
            peer.answer("number " + number);
            peer.awaitClose();
        })) {
            assertEquals("number 1", fetch(server.address(), HttpRequest.get("/"), PATIENT));
            try (HttpCall call = connector.openFresh(server.address(), HttpRequest.get("/"), PATIENT)) {
                assertEquals("number 2", new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8));
            }
        }
    }

    @Test
    void partOfAStreamArrivesBeforeTheNextIsSent() throws Exception {
        CountDownLatch firstRead = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
                    peer.request();
                    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
                    firstRead.await();
                    peer.send("6\r\nsecond\r\n0\r\n\r\n");
                    peer.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), PATIENT)) {
            assertArrayEquals(
                    "first".getBytes(StandardCharsets.UTF_8), call.body().readNBytes(5));
            firstRead.countDown();
            assertEquals("second", new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8));
        }
    }

    @Test
    void cancelClosesTheConnectionAndWakesTheReader() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
                    peer.request();
                    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    peer.awaitClose();
                    closed.complete(null);
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), PATIENT)) {
            CompletableFuture<IOException> reader = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> reader.complete(readUntilFailure(call)));
            call.cancel();
            HttpFailure failure =
                    assertInstanceOf(HttpFailure.class, reader.get().getCause());
            assertEquals(HttpFailure.Kind.CANCELLED, failure.kind());
            closed.get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void largeBodyPassesThroughTheBoundedBuffer() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
                    peer.request();
                    peer.answer("y".repeat(HUGE_BYTES));
                    peer.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), PATIENT)) {
            assertEquals(HUGE_BYTES, call.readAll(HUGE_BYTES).length);
        }
    }

    @Test
    void readerThatNeverReadsHoldsABoundedPart() throws Exception {
        int bound = HttpConnectorOptions.defaults().maxBufferedBytes();
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
                    peer.request();
                    peer.answer("y".repeat(HUGE_BYTES));
                    peer.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), PATIENT)) {
            while (call.bufferedBytes() < bound) {
                Thread.onSpinWait();
            }
            assertEquals("fine", fetchFrom("fine"));
            assertTrue(call.bufferedBytes() < bound + READ_BYTES, call.bufferedBytes() + " bytes");
        }
    }

    private String fetchFrom(String answer) throws Exception {
        try (ScriptedServer other = ScriptedServer.start((peer, number) -> {
            peer.request();
            peer.answer(answer);
            peer.awaitClose();
        })) {
            return fetch(other.address(), HttpRequest.get("/"), PATIENT);
        }
    }

    @Test
    void fullBufferAsksForAPauseAndResumesWhenHalfEmpty() throws Exception {
        ResponseBuffer buffer = ResponseBuffer.ofBytes(4);
        assertTrue(buffer.offer(new byte[2]));
        assertFalse(buffer.offer(new byte[2]));
        ResponseBuffer.Part.Bytes part =
                assertInstanceOf(ResponseBuffer.Part.Bytes.class, buffer.take(1).orElseThrow());
        assertTrue(part.resume());
    }

    @Test
    void silentConnectionCostsTheOtherIdleOnes() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            peer.request();
            both.countDown();
            both.await();
            peer.answer("live");
            peer.request();
            peer.awaitClose();
        })) {
            CompletableFuture<String> other = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> {
                try {
                    other.complete(fetch(server.address(), HttpRequest.get("/"), PATIENT));
                } catch (HttpFailure e) {
                    other.completeExceptionally(e);
                }
            });
            fetch(server.address(), HttpRequest.get("/"), PATIENT);
            other.get();
            assertThrows(HttpFailure.class, () -> fetch(server.address(), HttpRequest.get("/"), HASTY));
            awaitCount(CloseCause.SILENT, 1);
            awaitCount(CloseCause.SUSPECT, 1);
        }
    }

    private String fetch(PeerAddress target, HttpRequest request, HttpTimeouts timeouts) throws HttpFailure {
        try (HttpCall call = connector.open(target, request, timeouts)) {
            return new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8);
        }
    }

    private static IOException readUntilFailure(HttpCall call) {
        try {
            call.body().readAllBytes();
            return new IOException("the body ended");
        } catch (IOException e) {
            return e;
        }
    }

    private void awaitCount(CloseCause cause, long count) {
        while (metrics.counter(cause.metricName()).getCount() < count) {
            Thread.onSpinWait();
        }
    }
}
