package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class IdleConnectionTest {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 20_000, 20_000);
    private static final int MAX_BYTES = 1 << 20;
    private static final int CONNECT_MS = 5_000;
    private static final long STARTED_MS = 1_700_000_000_000L;
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults(new MetricRegistry()));

    @AfterEach
    void close() {
        connector.close();
    }

    /** Answers all requests on a connection with its number. */
    private static void answerWithNumber(ScriptedServer.Connection connection, int number) throws Exception {
        while (!connection.readRequest().isEmpty()) {
            connection.respond("connection " + number);
        }
    }

    private static String ask(IdleConnection connection) throws HttpFailure {
        try (HttpCall call = connection.ask(HttpRequest.get("/first"), TIMEOUTS)) {
            return new String(call.readAll(MAX_BYTES));
        }
    }

    private static String open(IdleConnection connection) throws HttpFailure {
        try (HttpCall call = connection.open(HttpRequest.get("/second"), TIMEOUTS, SilenceWatcher.NEVER_GIVES_UP)) {
            return new String(call.readAll(MAX_BYTES));
        }
    }

    /** Failure: a process was asked on one connection, and the request went to another process on another one. */
    @Test
    void requestGoesToTheProcessThatWasAsked() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(IdleConnectionTest::answerWithNumber)) {
            try (IdleConnection other = connector.connect(server.address(), CONNECT_MS);
                    IdleConnection asked = connector.connect(server.address(), CONNECT_MS)) {
                assertEquals("connection 2", ask(asked));
                other.close();
                assertEquals("connection 2", open(asked));
            }
            assertEquals(2, server.acceptedConnections());
        }
    }

    @Test
    void startOfTheProcessIsKnownAsLongAsTheConnectionIsOpen() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(IdleConnectionTest::answerWithNumber)) {
            try (IdleConnection first = connector.idleOrNew(server.address(), CONNECT_MS)) {
                assertEquals(OptionalLong.empty(), first.peerStartedMs());
                ask(first);
                first.recordPeerStart(STARTED_MS);
                open(first);
            }
            try (IdleConnection again = connector.idleOrNew(server.address(), CONNECT_MS);
                    IdleConnection another = connector.idleOrNew(server.address(), CONNECT_MS)) {
                assertEquals(OptionalLong.of(STARTED_MS), again.peerStartedMs());
                assertEquals(OptionalLong.empty(), another.peerStartedMs());
            }
        }
    }

    @Test
    void connectionThatThePeerClosesWithItsAnswerIsNotOpen() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast");
                    connection.awaitClose();
                });
                IdleConnection connection = connector.connect(server.address(), CONNECT_MS)) {
            assertTrue(connection.isOpen());
            assertEquals("last", ask(connection));
            assertFalse(connection.isOpen());
        }
    }
}
