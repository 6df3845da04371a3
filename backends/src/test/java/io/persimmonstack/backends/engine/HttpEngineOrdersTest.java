package io.persimmonstack.backends.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.http.ScriptedServer;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
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
    void responseIsMappedToOutcome(String response, String load, String unload) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> respond(connection, response))) {
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
    void orderToClosedPortIsNotSent() throws Exception {
        PeerAddress closedPort = ScriptedServer.unusedAddress();
        LoadOrder order = LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE);
        assertEquals("NotSent", orders.load(closedPort, order).getClass().getSimpleName());
    }

    /** Engines that do not tell a version, or tell a blank one, are of an unknown version. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "                               |",
                ", \"softwareVersion\": null       |",
                ", \"softwareVersion\": \" \"       |",
                ", \"softwareVersion\": \"2.1-rc3\" | 2.1-rc3"
            })
    void softwareVersionIsOptional(String field, String version) throws Exception {
        String response = "200 {\"runner\":\"r\",\"memoryBytes\":1,\"usedBytes\":0,\"maxConcurrent\":1,\"inFlight\":0,"
                + "\"queued\":0,\"fencing\":true,\"fence\":1,\"leaving\":false,\"models\":[]"
                + (field == null ? "" : field) + "}";
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> respond(connection, response))) {
            assertEquals(
                    Optional.ofNullable(version), orders.state(server.address()).softwareVersion());
        }
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
    void unusableStateResponseThrows(String response) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> respond(connection, response))) {
            assertThrows(EngineException.class, () -> orders.state(server.address()));
        }
    }

    private static void respond(ScriptedServer.Connection connection, String response) throws Exception {
        connection.readRequest();
        switch (response) {
            case "(silent)" -> connection.awaitClose();
            case "(closes)" -> connection.send("");
            default -> {
                String body = response.substring(4);
                connection.send("HTTP/1.1 " + response.substring(0, 3) + " X\r\nConnection: close\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
                connection.awaitClose();
            }
        }
    }
}
