package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a lost end of answers with neither a length nor chunks, which end with their connection. */
@Timeout(60)
class AnswerWithoutLengthTest {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 20_000, 20_000);
    private static final int MAX_BYTES = 1 << 20;
    private static final int RESET_PAUSE_MS = 100;
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());

    @AfterEach
    void close() {
        connector.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n",
                "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n",
                "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n",
                "HTTP/1.0 200 OK\r\n"
            })
    void answerIsCompleteAtTheEndOfItsConnection(String head) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send(head + "\r\nanswer " + number);
        })) {
            assertEquals("answer 1", fetch(server));
            assertEquals("answer 2", fetch(server));
            assertEquals(2, server.acceptedConnections());
        }
    }

    @Test
    void resetAnswerIsNotComplete() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send("HTTP/1.1 200 OK\r\n\r\npart of an answer");
            Thread.sleep(RESET_PAUSE_MS);
            connection.reset();
        })) {
            HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(server));
            assertEquals(HttpFailure.Kind.LOST, failure.kind());
            assertTrue(failure.sent());
        }
    }

    private String fetch(ScriptedServer server) throws HttpFailure {
        try (HttpCall call = connector.open(server.address(), HttpRequest.get("/"), TIMEOUTS)) {
            return new String(call.readAll(MAX_BYTES), StandardCharsets.ISO_8859_1);
        }
    }
}
