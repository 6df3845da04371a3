package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against taking a head whose status HTTP does not have for a response: whoever sent it is in trouble, so that
 * nothing is known of the request. Runners, the store and all other servers are called through this client.
 */
@Timeout(60)
class ResponseStatusTest {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 5_000, 5_000);
    private static final int STATUS_END = 1_000;
    /** Status of a response that another one follows; see {@link #interimResponseIsSkipped}. */
    private static final int INTERIM_STATUS = 100;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_FINAL_STATUS = 599;
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());

    @AfterEach
    void close() {
        connector.close();
    }

    @Test
    void onlyFinalStatusesOfHttpAreResponses() throws Exception {
        AtomicInteger status = new AtomicInteger();
        List<Integer> wrong = new ArrayList<>();
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            while (!connection.readRequest().isEmpty()) {
                connection.send("HTTP/1.1 %03d Reason\r\nContent-Length: 0\r\n\r\n".formatted(status.get()));
            }
        })) {
            for (int i = 0; i < STATUS_END; i++) {
                if (i == INTERIM_STATUS) {
                    continue;
                }
                status.set(i);
                boolean expected = i >= FIRST_FINAL_STATUS && i <= LAST_FINAL_STATUS;
                if (isResponse(server, i) != expected) {
                    wrong.add(i);
                }
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Returns whether a call ends with the status as its response; a failure must leave the outcome open. */
    private boolean isResponse(ScriptedServer server, int status) {
        try (HttpCall call = connector.open(server.address(), HttpRequest.get("/"), TIMEOUTS)) {
            return call.status() == status;
        } catch (HttpFailure e) {
            assertTrue(e.sent(), e.getMessage());
            return false;
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 20 Reason",
                "HTTP/1.1 2000 Reason",
                "HTTP/1.1 -1 Reason",
                "HTTP/1.1 +200 Reason",
                "HTTP/1.1 2 0 Reason",
                "HTTP/1.1 2xx Reason",
                "HTTP/1.1 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1 ",
                "HTTP/1.1",
                "HTTP/2.0 200 OK",
                "HTTP/11 200 OK",
                "HTTP/1.x 200 OK",
                "http/1.1 200 OK",
                "XHTTP/1.1 200 OK",
                "200 OK"
            })
    void malformedStatusLineIsNoResponse(String statusLine) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
            connection.readRequest();
            connection.send(statusLine + "\r\nContent-Length: 0\r\n\r\n");
        })) {
            HttpFailure failure = assertThrows(
                    HttpFailure.class,
                    () -> connector
                            .open(server.address(), HttpRequest.get("/"), TIMEOUTS)
                            .close());
            assertTrue(failure.sent(), failure.getMessage());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 "})
    void statusLineMayLackItsReason(String statusLine) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send(statusLine + "\r\nContent-Length: 0\r\n\r\n");
                    connection.awaitClose();
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), TIMEOUTS)) {
            assertEquals(FIRST_FINAL_STATUS, call.status());
        }
    }

    /** An interim response 100 may come before any response. */
    @Test
    void interimResponseIsSkipped() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
                });
                HttpCall call = connector.open(server.address(), HttpRequest.get("/"), TIMEOUTS)) {
            assertEquals(503, call.status());
        }
    }
}
