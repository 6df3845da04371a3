package io.persimmonstack.backends.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.http.ScriptedServer;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class HttpEngineOrdersTest {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(1_000, 500, 500);
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
    private final EngineOrders orders = HttpEngineOrders.of(connector, TIMEOUTS, TIMEOUTS);

    @AfterEach
    void close() {
        connector.close();
    }

    @ParameterizedTest(name = "{0}: load {1}, unload {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "(silent)                                        | Unknown  | Unknown",
                "(closes)                                        | Unknown  | Unknown",
                "200 {}                                          | Loaded   | Unloaded",
                "202 {}                                          | Accepted | Unknown",
                "409 {\"code\":\"fenced\",\"fence\":9}           | Fenced   | Fenced",
                "409 {\"code\":\"fenced\"}                       | Refused  | Refused",
                "409 garbage                                     | Refused  | Refused",
                "400 {}                                          | Refused  | Refused",
                "507 {}                                          | NoMemory | Unknown",
                "500 {}                                          | Unknown  | Unknown",
                "503 {}                                          | Unknown  | Unknown",
                "302 {}                                          | Unknown  | Unknown"
            })
    void answerBecomesTheOutcome(String answer, String load, String unload) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> answer(peer, answer))) {
            LoadOrder loadOrder = LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE);
            assertEquals(
                    load, orders.load(server.address(), loadOrder).getClass().getSimpleName());
            assertEquals(
                    unload,
                    orders.unload(server.address(), UnloadOrder.ofBase(SUMMARY, 1))
                            .getClass()
                            .getSimpleName());
        }
    }

    @Test
    void orderToNobodyIsNotSent() throws Exception {
        PeerAddress nobody = ScriptedServer.nobody();
        LoadOrder order = LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE);
        assertEquals("NotSent", orders.load(nobody, order).getClass().getSimpleName());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 garbage",
                "200 {}",
                "200 {\"runner\":\"r\",\"models\":[{\"model\":\"m\",\"version\":\"1\",\"state\":\"odd\"}]}",
                "404 {}",
                "(closes)",
                "(silent)"
            })
    void stateThatIsNoneFails(String answer) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> answer(peer, answer))) {
            assertThrows(EngineException.class, () -> orders.state(server.address()));
        }
    }

    private static void answer(ScriptedServer.Peer peer, String answer) throws Exception {
        peer.request();
        switch (answer) {
            case "(silent)" -> peer.awaitClose();
            case "(closes)" -> peer.send("");
            default -> {
                String body = answer.substring(4);
                peer.send("HTTP/1.1 " + answer.substring(0, 3) + " X\r\nConnection: close\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
                peer.awaitClose();
            }
        }
    }
}
