package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against taking bytes that are no chunk for the end of a body: a cut body must not look complete. */
@Timeout(60)
class ChunkSizeLineTest {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 20_000, 20_000);
    private static final int MAX_BYTES = 1 << 20;

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
}
