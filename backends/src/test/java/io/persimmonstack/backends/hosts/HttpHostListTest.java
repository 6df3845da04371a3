package io.persimmonstack.backends.hosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.http.ScriptedServer;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an odd entry of the host list that keeps the others from being used. */
class HttpHostListTest {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 5_000, 5_000);
    private static final String HOST = "{\"host\":\"%s\",\"kind\":\"runner\",\"state\":\"live\",\"address\":\"%s\","
            + "\"zone\":\"z-a\",\"region\":\"r\"}";

    /** Failure: the whole list was rejected, so that hosts that came or left later were not noticed. */
    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:70000", "127.0.0.1:0", "not an address:80", "some.host:80", ""})
    void othersAreListedBesideAnOddAddress(String address) throws Exception {
        String body = "{\"hosts\":[" + HOST.formatted("a", "127.0.0.1:80") + "," + HOST.formatted("odd", address) + ","
                + HOST.formatted("b", "127.0.0.1:81") + "]}";
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> {
                    connection.readRequest();
                    connection.respond(body);
                });
                HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            HttpHostList list = HttpHostList.of(connector, server.address(), TIMEOUTS);
            assertEquals(
                    List.of("a", "b"), list.hosts().stream().map(Host::name).toList());
        }
    }
}
