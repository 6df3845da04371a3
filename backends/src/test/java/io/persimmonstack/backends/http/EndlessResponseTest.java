package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a server whose response, or whose bytes that are none, come without end until the client closes. */
@Timeout(60)
class EndlessResponseTest {
    private static final HttpTimeouts LONG_TIMEOUTS = HttpTimeouts.of(5_000, 20_000, 20_000);
    private static final HttpTimeouts SHORT_TIMEOUTS = HttpTimeouts.of(5_000, 500, 500);
    private static final int MAX_BYTES = 1 << 20;
    /** Bytes that a server can send before it notices that the client has closed, socket buffers included. */
    private static final long MAX_SENT_BYTES = 48 << 20;

    private static final int REPEATS = 1_000;
    private static final int BODY_TIMEOUT_MS = 1_000;
    private static final int LONG_BODY_TIMEOUT_MS = 20_000;
    private static final int DRIBBLE_INTERVAL_MS = 100;
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private final MetricRegistry metrics = new MetricRegistry();
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults(metrics));

    @AfterEach
    void close() {
        connector.close();
    }

    static Stream<Arguments> endlessResponses() {
        return Stream.of(
                Arguments.of("status line", "HTTP/1.1 200 ", "x"),
                Arguments.of("bytes without a line end", "", "x"),
                Arguments.of("binary zeros", "", "\u0000"),
                Arguments.of("blank lines before the status line", "", "\r\n"),
                Arguments.of("header name", HEAD, "x"),
                Arguments.of("header value", HEAD + "X-More: ", "y"),
                Arguments.of("header fields of one name", HEAD, "X-More: y\r\n"),
                Arguments.of("interim responses 100", "", "HTTP/1.1 100 Continue\r\n\r\n"),
                Arguments.of("digits of a chunk size", CHUNKED_HEAD, "0"),
                Arguments.of("chunk extension", CHUNKED_HEAD + "1;", "x"),
                Arguments.of("trailer value", CHUNKED_HEAD + "1\r\nx\r\n0\r\nX-More: ", "y"),
                Arguments.of("trailer fields", CHUNKED_HEAD + "1\r\nx\r\n0\r\n", "X-More: y\r\n"),
                Arguments.of("body without a length", HEAD + "\r\n", "x"),
                Arguments.of("chunks", CHUNKED_HEAD, "1\r\nx\r\n"),
                Arguments.of("length beyond all memory", HEAD + "Content-Length: 9223372036854775807\r\n\r\n", "x"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessResponses")
    void endlessResponseIsGivenUpAndTheConnectionClosed(String name, String start, String repeated) throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send(start);
            sendEndlessly(connection, repeated.repeat(REPEATS), sentBytes, ended);
        })) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server.address(), LONG_TIMEOUTS));
            assertTrue(
                    failure.kind() == HttpFailure.Kind.TOO_LARGE || failure.kind() == HttpFailure.Kind.LOST,
                    failure.getMessage());
            assertTrue(failure.sent());
            ended.get(10, TimeUnit.SECONDS);
            assertTrue(sentBytes.get() < MAX_SENT_BYTES, sentBytes + " bytes were sent");
        }
    }

    private static void sendEndlessly(
            ScriptedServer.Connection connection, String piece, AtomicLong sentBytes, CompletableFuture<Void> ended) {
        try {
            while (true) {
                connection.send(piece);
                sentBytes.addAndGet(piece.length());
            }
        } catch (IOException e) {
            ended.complete(null);
        }
    }

    /** Many fields with names of their own: the number of fields that Undertow accepts must not be the only bound. */
    @Test
    void endlessTrailersWithDifferentNamesAreGivenUp() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send(CHUNKED_HEAD + "1\r\nx\r\n0\r\n");
            for (long i = 0; true; i++) {
                connection.send("X-More-" + i + ": " + "y".repeat(REPEATS) + "\r\n");
            }
        })) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server.address(), LONG_TIMEOUTS));
            assertTrue(
                    failure.kind() == HttpFailure.Kind.TOO_LARGE || failure.kind() == HttpFailure.Kind.LOST,
                    failure.getMessage());
        }
    }

    /** A client that leaves the body unread, or reads it no further, must not have the server go on sending. */
    @Test
    void trailersAreLimitedWhileNobodyReads() throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send(CHUNKED_HEAD + "1\r\nx\r\n0\r\nX-More: ");
                    sendEndlessly(connection, "y".repeat(REPEATS), sentBytes, ended);
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            ended.get(10, TimeUnit.SECONDS);
            assertTrue(sentBytes.get() < MAX_SENT_BYTES, sentBytes + " bytes were sent");
        }
    }

    static Stream<Arguments> dribbles() {
        return Stream.of(
                Arguments.of("status line", "HTTP/1.1 200 ", "x"),
                Arguments.of("header value", HEAD + "X-More: ", "y"),
                Arguments.of("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
                Arguments.of("chunk extension", CHUNKED_HEAD + "1;", "x"),
                Arguments.of("trailer", CHUNKED_HEAD + "0\r\nX-More: ", "y"));
    }

    /** Bytes that do not advance the response must not count as progress, however often one of them arrives. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("dribbles")
    void dribbleOfNoResponseDoesNotExtendTheTimeouts(String name, String start, String repeated) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send(start);
            dribble(connection, repeated);
        })) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server.address(), SHORT_TIMEOUTS));
            assertTrue(
                    failure.kind() == HttpFailure.Kind.FIRST_BYTE_TIMEOUT
                            || failure.kind() == HttpFailure.Kind.PROGRESS_TIMEOUT,
                    failure.getMessage());
        }
    }

    private static void dribble(ScriptedServer.Connection connection, String piece) throws Exception {
        while (true) {
            connection.send(piece);
            TimeUnit.MILLISECONDS.sleep(DRIBBLE_INTERVAL_MS);
        }
    }

    @Test
    void endlessBytesAfterACompleteResponseCloseTheIdleConnection() throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        AtomicLong sentBytes = new AtomicLong();
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.respond("fine");
            if (number == 1) {
                sendEndlessly(connection, "x".repeat(REPEATS), sentBytes, ended);
            }
            connection.awaitClose();
        })) {
            assertEquals("fine", fetch(server.address(), LONG_TIMEOUTS));
            ended.get(10, TimeUnit.SECONDS);
            assertTrue(sentBytes.get() < MAX_SENT_BYTES, sentBytes + " bytes were sent");
            assertEquals("fine", fetch(server.address(), LONG_TIMEOUTS));
        }
    }

    /** A field name that the client library refuses, because it has characters of more than one byte. */
    @Test
    void requestThatTheLibraryRefusesFailsWithoutAWait() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> connection.awaitClose())) {
            HttpRequest request = HttpRequest.get("/").with("X-\u0100", "value");
            HttpFailure failure =
                    assertThrows(HttpFailure.class, () -> connector.open(server.address(), request, LONG_TIMEOUTS));
            assertEquals(HttpFailure.Kind.LOST, failure.kind(), failure.getMessage());
            assertFalse(failure.sent());
        }
    }

    /** A peer that sends faster than its reader reads, in parts of one byte, must not fill the memory with parts. */
    @Test
    void numberOfUnreadPartsIsLimited() throws Exception {
        ResponseBuffer buffer = ResponseBuffer.ofCapacity(MAX_BYTES);
        int parts = 1;
        while (buffer.offer(new byte[1])) {
            parts++;
        }
        assertTrue(parts <= REPEATS, parts + " parts");
    }

    /** Bytes that arrive together with the end of the connection are handed over before the failure. */
    @Test
    void bytesBeforeTheEndOfTheConnectionAreRead() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send(CHUNKED_HEAD + "3\r\nabc\r\n3\r\ndef\r\n");
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            assertEquals("abcdef", new String(call.body().readNBytes(6), StandardCharsets.UTF_8));
            assertThrows(IOException.class, () -> call.body().read());
        }
    }

    /** A body whose bytes keep arriving one by one has to end within the time for the whole body. */
    @Test
    void dribbledBodyDoesNotOutliveItsTimeLimit() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send(HEAD + "\r\n");
                    dribble(connection, "x");
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> call.readAll(MAX_BYTES, BODY_TIMEOUT_MS));
            assertEquals(HttpFailure.Kind.PROGRESS_TIMEOUT, failure.kind(), failure.getMessage());
        }
    }

    /** The same for callers that do not name a time: ten times the timeout between two parts. */
    @Test
    void dribbledBodyEndsWithoutATimeLimitOfItsOwn() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send(HEAD + "\r\n");
            dribble(connection, "x");
        })) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server.address(), SHORT_TIMEOUTS));
            assertEquals(HttpFailure.Kind.PROGRESS_TIMEOUT, failure.kind(), failure.getMessage());
        }
    }

    /** Two large bodies at once, and memory for one of them. */
    @Test
    void largeBodiesShareTheirMemory() throws Exception {
        HttpConnectorOptions options = HttpConnectorOptions.defaults().withBodyMemoryBytes(3L * MAX_BYTES);
        try (HttpConnector small = HttpConnector.create(options);
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    while (!connection.readRequest().isEmpty()) {
                        connection.respond("y".repeat(MAX_BYTES));
                    }
                })) {
            try (HttpCall first = small.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS);
                    HttpCall second = small.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
                assertEquals(MAX_BYTES, first.readAll(MAX_BYTES, LONG_BODY_TIMEOUT_MS).length);
                HttpFailure failure =
                        assertThrows(HttpFailure.class, () -> second.readAll(MAX_BYTES, LONG_BODY_TIMEOUT_MS));
                assertEquals(HttpFailure.Kind.TOO_LARGE, failure.kind(), failure.getMessage());
            }
            try (HttpCall third = small.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
                assertEquals(MAX_BYTES, third.readAll(MAX_BYTES, LONG_BODY_TIMEOUT_MS).length);
            }
        }
    }

    private String fetch(PeerAddress target, HttpTimeouts timeouts) throws HttpFailure {
        try (HttpCall call = connector.open(target, HttpRequest.get("/"), timeouts)) {
            return new String(call.readAll(MAX_BYTES), StandardCharsets.UTF_8);
        }
    }

    /** Guards against a heap that calls without a memory of their own fill together, such as status requests. */
    @Test
    void allCallsOfAConnectorShareItsMemory() throws Exception {
        HttpConnectorOptions options = HttpConnectorOptions.defaults().withBodyMemoryBytes(3L * MAX_BYTES);
        try (HttpConnector small = HttpConnector.create(options);
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.respond("y".repeat(MAX_BYTES));
                    connection.awaitClose();
                });
                HttpCall first = small.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS);
                HttpCall second = small.open(server.address(), HttpRequest.get("/"), LONG_TIMEOUTS)) {
            assertEquals(MAX_BYTES, first.readAll(MAX_BYTES).length);
            HttpFailure failure = assertThrows(HttpFailure.class, () -> second.readAll(MAX_BYTES));
            assertEquals(HttpFailure.Kind.TOO_LARGE, failure.kind(), failure.getMessage());
        }
    }
}
