package io.persimmonstack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.ScriptedServer;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.backends.kv.KvStoreContract;
import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.wire.PeerAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the key-value client against outages, lost replies, silent watches and unusable responses. */
@Timeout(60)
class KvFaultsTest {
    private static final KvOptions OPTIONS = KvOptions.defaults().withTimeouts(500, 500);
    private final MetricRegistry metrics = new MetricRegistry();
    private TestStandins standins;
    private KvStore store;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.start();
        store = storeAt(standins.address(Standins.KV), OPTIONS);
    }

    @AfterEach
    void stop() {
        standins.close();
    }

    private KvStore storeAt(PeerAddress address, KvOptions options) {
        return EtcdKvStore.create(standins.connector(), address, options, metrics);
    }

    @ParameterizedTest(name = "{0}: get {1}, put {2}, effect {3}")
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"fault\":\"down\"}                   | unavailable | ambiguous | false",
                "{\"fault\":\"lose-replies\"}           | fine        | ambiguous | true",
                "{\"fault\":\"slow\",\"delayMs\":5000}  | unavailable | ambiguous | later",
                "{\"fault\":\"slow\",\"delayMs\":1}     | fine        | fine      | true",
                "{\"fault\":\"silent-watches\"}         | fine        | fine      | true"
            })
    void faultMapsToTheExpectedException(String fault, String get, String put, String effect) throws Exception {
        standins.injectFault(Standins.KV, fault);
        assertEquals(get, outcome(() -> store.get("/k")));
        assertEquals(put, outcome(() -> store.put("/k", new byte[1], Expectation.absent())));
        standins.clearFaults(Standins.KV);
        if (!effect.equals("later")) {
            assertEquals(Boolean.valueOf(effect), store.get("/k").isPresent());
        }
    }

    @ParameterizedTest(name = "{0}: get {1}, put {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "200 {}                                | unavailable | ambiguous",
                "200 garbage                           | unavailable | ambiguous",
                "200 {\"header\":{\"revision\":\"x\"}} | unavailable | ambiguous",
                "200 {\"header\":{\"revision\":\"4\"}} | fine        | ambiguous",
                "429 {}                                | unavailable | unavailable",
                "400 {}                                | unavailable | unavailable",
                "503 {}                                | unavailable | ambiguous"
            })
    void unusableResponseMapsToTheExpectedException(String statusAndBody, String get, String put) throws Exception {
        String body = statusAndBody.substring(4);
        String response = "HTTP/1.1 " + statusAndBody.substring(0, 3) + " X\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        try (ScriptedServer server = ScriptedServer.start((peer, number) -> {
            while (!peer.readRequest().isEmpty()) {
                peer.send(response);
            }
        })) {
            KvStore scripted = storeAt(server.address(), OPTIONS);
            assertEquals(get, outcome(() -> scripted.get("/k")));
            assertEquals(put, outcome(() -> scripted.put("/k", new byte[1], Expectation.absent())));
        }
    }

    @Test
    void putToAClosedPortHasNoEffect() throws Exception {
        PeerAddress closedPort = ScriptedServer.unusedAddress();
        KvStore unreachable = storeAt(closedPort, OPTIONS);
        assertEquals("unavailable", outcome(() -> unreachable.put("/k", new byte[1], Expectation.absent())));
    }

    @Test
    void clientBacksOffDuringAnOutageAndRecovers() throws Exception {
        standins.injectFault(Standins.KV, "{\"fault\":\"down\"}");
        while (metrics.counter("kv.backoff.refused").getCount() == 0) {
            outcome(() -> store.get("/k"));
        }
        assertTrue(metrics.counter("kv.calls.get").getCount() >= 3);
        standins.clearFaults(Standins.KV);
        while (!outcome(() -> store.get("/k")).equals("fine")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void silentWatchEndsByTimeout() throws Exception {
        KvStoreContract.ChangeRecorder recorder = new KvStoreContract.ChangeRecorder();
        store.watch("/w/", 1, recorder);
        standins.injectFault(Standins.KV, "{\"fault\":\"silent-watches\"}");
        store.put("/w/a", new byte[1], Expectation.absent());
        assertEquals("ended", recorder.nextChange());
        assertEquals(0, metrics.counter("kv.watches.open").getCount());
    }

    @Test
    void exhaustedBudgetRejectsWithoutACall() throws Exception {
        KvStore limited = storeAt(standins.address(Standins.KV), OPTIONS.withBudget(2, 1, 1));
        limited.get("/k");
        limited.get("/k");
        assertThrows(KvUnavailableException.class, () -> limited.get("/k"));
        limited.put("/k", new byte[1], Expectation.absent());
        assertThrows(KvUnavailableException.class, () -> limited.put("/l", new byte[1], Expectation.absent()));
        assertEquals(2, metrics.counter("kv.calls.get").getCount());
        assertEquals(2, metrics.counter("kv.budget.refused").getCount());
    }

    @Test
    void unknownFaultNameGetsASuggestion() {
        IllegalArgumentException failure = assertThrows(
                IllegalArgumentException.class, () -> standins.injectFault(Standins.KV, "{\"fault\":\"lose-reply\"}"));
        assertTrue(failure.getMessage().contains("did you mean 'lose-replies'"), failure.getMessage());
    }

    private interface KvOperation {
        void run() throws KvException;
    }

    /** Returns {@code fine}, or the kind of exception that the operation threw. */
    private static String outcome(KvOperation operation) {
        try {
            operation.run();
            return "fine";
        } catch (KvException e) {
            return e.getClass()
                    .getSimpleName()
                    .replace("Kv", "")
                    .replace("Exception", "")
                    .toLowerCase();
        }
    }
}
