package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against taking bytes that are no chunk for the end of a body: a cut body must not look complete. */
@Timeout(60)
class ChunkSizeLineTest {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 5_000, 5_000);
    private static final int MAX_BYTES = 1 << 20;
    private static final int SECOND_PACKET_DELAY_MS = 50;
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @Test
    void lineWithoutAChunkSizeIsNotTheEndOfTheBody() throws Exception {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\ngarbage\r\n\r\n");
                    connection.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), TIMEOUTS)) {
            assertThrows(HttpFailure.class, () -> call.readAll(MAX_BYTES));
        }
    }

    /** Each response follows the head of a body in chunks, in one packet with it and in one of its own. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "3\r\nabc\r\n\r\n\r\n",
                "3\r\nabc\r\n\u0007#!~ no answer\r\n\r\n",
                "3\r\nabc\r\n-0\r\n\r\n",
                "3\r\nabc\r\n+0\r\n\r\n",
                "3\r\nabc\r\n0x0\r\n\r\n",
                "3\r\nabc\r\n00000000000000000\r\n\r\n",
                "3\r\nabc\r\n0 words\r\n\r\n",
                "3\r\nabc\r\n0\n\r\n",
                "3\r\nabcdef\r\n0\r\n\r\n",
                "3\r\nabc0\r\n\r\n",
                "3\r\nabc\n0\r\n\r\n",
                "3\r\nabc\r\n0\r\nno trailer\r\n\r\n",
                "3\r\nabc\r\n0\r\n: no name\r\n\r\n",
                "garbage\r\n\r\n"
            })
    void malformedBodyIsNotComplete(String body) throws Exception {
        assertBroken(CHUNKED_HEAD + body, "");
        assertBroken(CHUNKED_HEAD, body);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\n\r\nabc",
                "X-More: a\r\n Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
                "Content-Length: +3\r\n\r\nabc",
                "Content-Length: 3\n\r\nabc"
            })
    void ambiguousHeadIsNoAnswer(String head) throws Exception {
        assertBroken("HTTP/1.1 200 OK\r\n" + head, "");
    }

    private static void assertBroken(String first, String second) throws Exception {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send(first);
                    TimeUnit.MILLISECONDS.sleep(second.isEmpty() ? 0 : SECOND_PACKET_DELAY_MS);
                    connection.send(second);
                    connection.awaitClose();
                })) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(connector, server));
            assertEquals(HttpFailure.Kind.LOST, failure.kind(), failure.getMessage());
        }
    }

    private static String fetch(HttpConnector connector, ScriptedServer server) throws HttpFailure {
        try (HttpCall call = connector.open(server.address(), HttpRequest.get("/"), TIMEOUTS)) {
            return new String(call.readAll(MAX_BYTES), StandardCharsets.ISO_8859_1);
        }
    }

    /** A check that loses count of the framing would fail later answers on the same connection. */
    @Test
    void soundAnswersOfAllKindsShareAConnection() throws Exception {
        String[] answers = {
            CHUNKED_HEAD + "3\r\nabc\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
            "HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED_HEAD + "1 \r\na\r\n02;x=\"y\"\r\nbc\r\n0;z\r\nX-T: v\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:Chunked\r\n\r\n0000000003\r\nabc\r\n000\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
        };
        String[] bodies = {"abc", "abc", "abc", "abc", "", "abc"};
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    for (String answer : answers) {
                        connection.readRequest();
                        for (int i = 0; i < answer.length(); i += number) {
                            connection.send(answer.substring(i, Math.min(answer.length(), i + number)));
                        }
                    }
                    connection.awaitClose();
                })) {
            String[] received = new String[answers.length];
            for (int i = 0; i < answers.length; i++) {
                received[i] = fetch(connector, server);
            }
            assertArrayEquals(bodies, received);
            assertEquals(1, server.acceptedConnections());
        }
    }

    @Test
    void answerToHeadRequestHasNoBody() throws Exception {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
                ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
                    connection.readRequest();
                    connection.respond("abc");
                    connection.awaitClose();
                })) {
            HttpRequest head = new HttpRequest("HEAD", "/", List.of(), new byte[0]);
            try (HttpCall call = connector.open(server.address(), head, TIMEOUTS)) {
                assertEquals(0, call.readAll(MAX_BYTES).length);
            }
            assertEquals("abc", fetch(connector, server));
        }
    }
}
