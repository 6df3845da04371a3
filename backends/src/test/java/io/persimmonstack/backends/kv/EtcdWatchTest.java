package io.persimmonstack.backends.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.ScriptedServer;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.KvWatcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Watches that the service answers without confirming them. */
@Timeout(60)
class EtcdWatchTest {
    private static final int ATTEMPTS = 20;
    private final MetricRegistry metrics = new MetricRegistry();
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());

    private final KvWatcher watcher = new KvWatcher() {
        @Override
        public void changed(KvChange change) {}

        @Override
        public void ended(KvException cause) {}
    };

    @AfterEach
    void close() {
        connector.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"200 {}\n", "200 garbage\n", "200 {\"result\":{}}\n", "404 {}\n", "503 {}\n"})
    void unconfirmedWatchCountsAsFailedCallAndLeadsToBackoff(String response) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((connection, number) -> respond(connection, response))) {
            KvOptions options = KvOptions.defaults().withBudget(1_000, 1_000, 1_000);
            EtcdKvStore store = EtcdKvStore.create(connector, server.address(), options, metrics);
            for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
                assertThrows(KvUnavailableException.class, () -> store.watch("/w/", 1, watcher));
                assertEquals(attempt, metrics.counter("kv.unavailable").getCount());
            }
            assertTrue(metrics.counter("kv.backoff.refused").getCount() > 0, "no call was refused by the backoff");
            assertEquals(0, metrics.counter("kv.watches.open").getCount());
        }
    }

    private static void respond(ScriptedServer.Connection connection, String response) throws Exception {
        connection.readRequest();
        String body = response.substring(4);
        connection.send("HTTP/1.1 " + response.substring(0, 3) + " X\r\nConnection: close\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
        connection.awaitClose();
    }
}
