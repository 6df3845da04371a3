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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

@Timeout(60)
class HttpConnectorTest {
    private static final HttpTimeouts LONG_TIMEOUTS = HttpTimeouts.of(5_000, 20_000, 20_000);
    private static final HttpTimeouts SHORT_TIMEOUTS = HttpTimeouts.of(5_000, 300, 300);
    private static final int MAX_BYTES = 1 << 20;
    private static final int READ_BUFFER_BYTES = 8 * 1024;
    private static final int LARGE_BODY_BYTES = 8 << 20;
    private final MetricRegistry metrics = new MetricRegistry();
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults(metrics));

    @AfterEach
    void close() {
        connector.close();
    }

    /** Misbehaves on a connection after its request was read. */
    private interface FaultScript {
        void afterRequest(ScriptedServer.Connection connection) throws Exception;
    }

    private static Arguments fault(String name, HttpFailure.Kind kind, HttpTimeouts timeouts, FaultScript script) {
        return Arguments.of(name, kind, timeouts, script);
    }

    static Stream<Arguments> faults() {
        String head = "HTTP/1.1 200 OK\r\n";
        return Stream.of(
                fault("closes without a response", HttpFailure.Kind.LOST, LONG_TIMEOUTS, connection -> {}),
                fault(
                        "silent before the head",
                        HttpFailure.Kind.FIRST_BYTE_TIMEOUT,
                        SHORT_TIMEOUTS,
                        ScriptedServer.Connection::awaitClose),
                fault("silent within the head", HttpFailure.Kind.FIRST_BYTE_TIMEOUT, SHORT_TIMEOUTS, connection -> {
                    connection.send(head);
                    connection.awaitClose();
                }),
                fault("silent within a fixed body", HttpFailure.Kind.PROGRESS_TIMEOUT, SHORT_TIMEOUTS, connection -> {
                    connection.send(head + "Content-Length: 10\r\n\r\nabc");
                    connection.awaitClose();
                }),
                fault("silent within a chunked body", HttpFailure.Kind.PROGRESS_TIMEOUT, SHORT_TIMEOUTS, connection -> {
                    connection.send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
                    connection.awaitClose();
                }),
                fault("truncated fixed body", HttpFailure.Kind.LOST, LONG_TIMEOUTS, connection -> {
                    connection.send(head + "Content-Length: 10\r\n\r\nabc");
                }),
                fault("truncated chunked body", HttpFailure.Kind.LOST, LONG_TIMEOUTS, connection -> {
                    connection.send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
                }),
                fault(
                        "no status line",
                        HttpFailure.Kind.LOST,
                        LONG_TIMEOUTS,
                        connection -> connection.send("\u0000\u0001garbage\r\n\r\n")),
                fault("chunk size that is not a number", HttpFailure.Kind.LOST, LONG_TIMEOUTS, connection -> {
                    connection.send(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n");
                    connection.awaitClose();
                }),
                fault("endless head", HttpFailure.Kind.TOO_LARGE, LONG_TIMEOUTS, connection -> {
                    connection.send(head);
                    while (true) {
                        connection.send("X-More: " + "y".repeat(1000) + "\r\n");
                    }
                }),
                fault("endless header value", HttpFailure.Kind.TOO_LARGE, LONG_TIMEOUTS, connection -> {
                    connection.send(head + "X-More: ");
                    while (true) {
                        connection.send("y".repeat(1000));
                    }
                }),
                fault("response to another request", HttpFailure.Kind.MISMATCH, LONG_TIMEOUTS, connection -> {
                    connection.send(head + "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nabc");
                    connection.awaitClose();
                }),
                fault("body above the size limit", HttpFailure.Kind.TOO_LARGE, LONG_TIMEOUTS, connection -> {
                    connection.send(
                            head + "Content-Length: " + LARGE_BODY_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BODY_BYTES));
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void faultFailsOnlyTheAffectedCall(String name, HttpFailure.Kind kind, HttpTimeouts timeouts, FaultScript script)
            throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            if (number == 1) {
                script.afterRequest(connection);
            } else {
                connection.respond("fine");
                connection.awaitClose();
            }
        })) {
            HttpRequest request = HttpRequest.postJson("/x", "{}").with("X-Request-Id", "mine");
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server.address(), request, timeouts));
            assertEquals(kind, failure.kind(), failure.getMessage());
            assertTrue(failure.sent());
            assertEquals("fine", fetch(server.address(), request, LONG_TIMEOUTS));
            assertEquals(2, server.acceptedConnections());
        }
    }

    @Test
    void endlessHeadIsRejectedWhileAllCarrierThreadsAreBusy() throws Exception {
        try (BusyCarrierThreads busy = BusyCarrierThreads.start();
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 200 OK\r\n");
                    while (true) {
                        connection.send("X-More: " + "y".repeat(1000) + "\r\n");
                    }
                })) {
            HttpFailure failure =
                    assertThrows(HttpFailure.class, () -> fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            assertEquals(HttpFailure.Kind.TOO_LARGE, failure.kind(), failure.getMessage());
        }
    }

    @Test
    void refusedConnectionSendsNothing() throws Exception {
        PeerAddress closedPort = ScriptedServer.unusedAddress();
        HttpFailure failure =
                assertThrows(HttpFailure.class, () -> connector.open(closedPort, HttpRequest.get("/"), LONG_TIMEOUTS));
        assertEquals(HttpFailure.Kind.CONNECT, failure.kind());
        assertFalse(failure.sent());
    }

    /** A request whose time had passed while its connection was opened was sent nevertheless. */
    @Test
    void requestIsNotSentOnceItsConditionHasEnded() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            while (!connection.readRequest().isEmpty()) {
                connection.respond("answer");
            }
        })) {
            AtomicInteger asked = new AtomicInteger();
            HttpRequest once = HttpRequest.get("/").sentOnlyIf(() -> asked.getAndIncrement() == 0);
            try (HttpCall call = connector.open(server.address(), once, LONG_TIMEOUTS)) {
                assertEquals("answer", new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8));
            }
            HttpFailure failure =
                    assertThrows(HttpFailure.class, () -> connector.open(server.address(), once, LONG_TIMEOUTS));
            assertFalse(failure.sent());
            assertEquals(2, asked.get());
        }
    }

    @Test
    void connectionIsReusedAfterTheBodyIsRead() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            while (!connection.readRequest().isEmpty()) {
                connection.respond("same");
            }
        })) {
            for (int i = 0; i < 3; i++) {
                assertEquals("same", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            }
            assertEquals(1, server.acceptedConnections());
        }
    }

    @Test
    void connectionIsNotReusedAfterConnectionCloseHeader() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast");
            connection.awaitClose();
        })) {
            assertEquals("last", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            assertEquals("last", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            assertEquals(2, server.acceptedConnections());
        }
    }

    /** A server that sends two responses to one request must not have the second one delivered to the next request. */
    @Test
    void unsolicitedResponseIsNotUsedForTheNextRequest() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            while (!connection.readRequest().isEmpty()) {
                String late = number == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate" : "";
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine" + late);
            }
        })) {
            for (int i = 0; i < 3; i++) {
                assertEquals("mine", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            }
        }
    }

    @Test
    void connectionClosedWhileIdleIsReplaced() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.respond("once");
        })) {
            assertEquals("once", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            awaitCount(CloseCause.PEER, 1);
            assertEquals("once", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
        }
    }

    @Test
    void openFreshUsesANewConnection() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.respond("number " + number);
            connection.awaitClose();
        })) {
            assertEquals("number 1", fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
            try (HttpCall call = connector.openOnNewConnection(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
                assertEquals("number 2", new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8));
            }
        }
    }

    @Test
    void streamedPartIsReadableBeforeTheNextIsSent() throws Exception {
        CountDownLatch firstRead = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
                    firstRead.await();
                    connection.send("6\r\nsecond\r\n0\r\n\r\n");
                    connection.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            assertArrayEquals(
                    "first".getBytes(StandardCharsets.UTF_8), call.body().readNBytes(5));
            firstRead.countDown();
            assertEquals("second", new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8));
        }
    }

    @Test
    void cancelClosesTheConnectionAndFailsTheBlockedReader() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    connection.awaitClose();
                    closed.complete(null);
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
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
    void bodyLargerThanTheBufferIsReadCompletely() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.respond("y".repeat(LARGE_BODY_BYTES));
                    connection.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            assertEquals(LARGE_BODY_BYTES, call.readAll(LARGE_BODY_BYTES).length);
        }
    }

    /** The call to a second server shows that the I/O threads are not blocked while the first body is not read. */
    @Test
    void unreadBodyIsBufferedUpToTheLimit() throws Exception {
        int limitBytes = HttpConnectorOptions.defaults().maxBufferedBytes();
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.respond("y".repeat(LARGE_BODY_BYTES));
                    connection.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            while (call.bufferedBytes() < limitBytes) {
                Thread.onSpinWait();
            }
            assertEquals("fine", fetchFromNewServer("fine"));
            assertTrue(call.bufferedBytes() < limitBytes + READ_BUFFER_BYTES, call.bufferedBytes() + " bytes");
        }
    }

    private String fetchFromNewServer(String body) throws Exception {
        try (ScriptedServer otherServer = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.respond(body);
            connection.awaitClose();
        })) {
            return fetch(otherServer.address(), HttpRequest.get("/"), LONG_TIMEOUTS);
        }
    }

    @Test
    void fullBufferPausesReadingUntilHalfEmpty() throws Exception {
        ResponseBuffer buffer = ResponseBuffer.ofCapacity(4);
        assertTrue(buffer.offer(new byte[2]));
        assertFalse(buffer.offer(new byte[2]));
        ResponseBuffer.Part.Bytes part = assertInstanceOf(
                ResponseBuffer.Part.Bytes.class, buffer.awaitPart(1).orElseThrow());
        assertTrue(part.resumeReading());
    }

    @Test
    void timeoutClosesIdleConnectionsToTheSameTarget() throws Exception {
        CountDownLatch bothConnected = new CountDownLatch(2);
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            bothConnected.countDown();
            bothConnected.await();
            connection.respond("live");
            connection.readRequest();
            connection.awaitClose();
        })) {
            CompletableFuture<String> concurrentCall = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> {
                try {
                    concurrentCall.complete(fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS));
                } catch (HttpFailure e) {
                    concurrentCall.completeExceptionally(e);
                }
            });
            fetch(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS);
            concurrentCall.get();
            assertThrows(HttpFailure.class, () -> fetch(server.address(), HttpRequest.get("/"), SHORT_TIMEOUTS));
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
