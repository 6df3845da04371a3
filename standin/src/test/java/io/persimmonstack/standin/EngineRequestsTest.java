package io.persimmonstack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.engine.CheckpointPlace;
import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.EngineState;
import io.persimmonstack.backends.engine.HttpEngineOrders;
import io.persimmonstack.backends.engine.LoadOrder;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.coordination.model.ModelVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests chat completions on the engine stand-in, its faults and its ledgers. */
@Timeout(60)
class EngineRequestsTest {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private static final HttpTimeouts SHORT_TIMEOUTS = HttpTimeouts.of(5_000, 500, 500);
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int LONG_ANSWER_TOKENS = 100_000;
    private TestStandins standins;
    private EngineOrders orders;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.startWithNonFencingEngine();
        orders = HttpEngineOrders.of(standins.connector(), TestStandins.LONG_TIMEOUTS, TestStandins.LONG_TIMEOUTS);
        loadAndAwait("runner-1");
    }

    @AfterEach
    void stop() {
        standins.close();
    }

    private void loadAndAwait(String runner) throws Exception {
        orders.load(standins.address(runner), LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE));
        while (state(runner).model(SUMMARY).orElseThrow().state() != ModelState.LOADED) {
            Thread.onSpinWait();
        }
    }

    private EngineState state(String runner) throws Exception {
        return orders.state(standins.address(runner));
    }

    private static HttpRequest chat(String requestId, boolean stream, int tokens) {
        String body = "{\"model\":\"summary@1\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"why " + requestId + "\"}]}";
        return HttpRequest.postJson("/v1/chat/completions", body).with("X-Request-Id", requestId);
    }

    /** Sends a request to {@code runner-1} and returns the status and body, separated by a space. */
    private String fetch(HttpRequest request, HttpTimeouts timeouts) throws HttpFailure {
        try (HttpCall call = standins.connector().open(standins.address("runner-1"), request, timeouts)) {
            return call.status() + " " + new String(call.readAll(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
        }
    }

    @Test
    void nonStreamedAnswerEchoesThePrompt() throws Exception {
        String answer = fetch(chat("a", false, 3), TestStandins.LONG_TIMEOUTS);
        assertTrue(answer.contains("\"content\":\"echo:why a t1 t2\""), answer);
    }

    @Test
    void streamEndsWithDoneAndResumesFromTheGivenToken() throws Exception {
        String whole = fetch(chat("a", true, 4), TestStandins.LONG_TIMEOUTS);
        assertTrue(whole.endsWith("data: [DONE]\n\n"), whole);
        String rest = fetch(chat("a", true, 4).with("X-Resume-From", "2"), TestStandins.LONG_TIMEOUTS);
        assertTrue(whole.endsWith(rest.substring(4)), rest);
        assertTrue(rest.contains("\" t2\"") && !rest.contains("\" t1\""), rest);
        assertEquals(1, standins.standins().runTracker().runCount());
    }

    @Test
    void softwareVersionIsToldInTheStateAndInEachPartOfAnAnswer() throws Exception {
        assertEquals(Optional.of("1"), state("runner-1").softwareVersion());
        try (HttpCall call = standins.connector()
                .open(standins.address("runner-1"), chat("a", true, 2), TestStandins.LONG_TIMEOUTS)) {
            assertEquals(Optional.of("1"), call.header("X-Software-Version"));
            String body = new String(call.readAll(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
            assertEquals(4, body.split("\"system_fingerprint\":\"1\"", -1).length, body);
        }
    }

    @Test
    void engineWithoutASoftwareVersionTellsNone() throws Exception {
        assertEquals(Optional.empty(), state("plain").softwareVersion());
        loadAndAwait("plain");
        HttpRequest request = chat("a", false, 2);
        try (HttpCall call =
                standins.connector().open(standins.address("plain"), request, TestStandins.LONG_TIMEOUTS)) {
            assertEquals(Optional.empty(), call.header("X-Software-Version"));
            assertTrue(!new String(call.readAll(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8).contains("fingerprint"));
        }
    }

    @Test
    void rejectedRequestsGetTheMatchingStatus() throws Exception {
        HttpRequest unloadedModel = HttpRequest.postJson("/v1/chat/completions", "{\"model\":\"lease@1\"}");
        assertEquals("404", fetch(unloadedModel, TestStandins.LONG_TIMEOUTS).substring(0, 3));
        HttpRequest unloadedAdapter = HttpRequest.postJson("/v1/chat/completions", "{\"model\":\"summary@1+tenants\"}");
        assertEquals("404", fetch(unloadedAdapter, TestStandins.LONG_TIMEOUTS).substring(0, 3));
        HttpRequest malformed = HttpRequest.postJson("/v1/chat/completions", "garbage");
        assertEquals("400", fetch(malformed, TestStandins.LONG_TIMEOUTS).substring(0, 3));
        loadAndAwait("plain");
        HttpRequest resume = chat("a", true, 4).with("X-Resume-From", "2");
        assertEquals("409", standins.exchange("plain", resume).substring(0, 3));
    }

    @Test
    void fullEngineRejectsRequests() throws Exception {
        HttpCall first = openStream("a");
        HttpCall second = openStream("b");
        Thread third = Thread.ofVirtual().start(() -> assertThrows(HttpFailure.class, () -> openStream("c")));
        while (state("runner-1").queued() < 1) {
            Thread.onSpinWait();
        }
        assertEquals(
                "429", fetch(chat("d", true, 1), TestStandins.LONG_TIMEOUTS).substring(0, 3));
        third.interrupt();
        third.join();
        first.cancel();
        second.cancel();
    }

    @Test
    void cancelledStreamReleasesItsBatchSlot() throws Exception {
        openStream("a").cancel();
        while (state("runner-1").inFlight() > 0) {
            Thread.onSpinWait();
        }
    }

    /**
     * Otherwise silenced connections would use up the batch slots of the engine and keep its models from being
     * unloaded.
     */
    @Test
    void silentStreamReleasesItsBatchSlot() throws Exception {
        HttpCall silent = openStream("a");
        while (state("runner-1").inFlight() < 1) {
            Thread.onSpinWait();
        }
        standins.injectFault("runner-1", "{\"fault\":\"silent\"}");
        while (!stateOnNewConnection().contains("\"inFlight\":0")) {
            Thread.onSpinWait();
        }
        silent.cancel();
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"fault\":\"reset-midway\",\"count\":1}                 | LOST",
                "{\"fault\":\"late-answers\",\"delayMs\":9000,\"count\":1} | FIRST_BYTE_TIMEOUT",
                "{\"fault\":\"cross-answers\",\"count\":1}                | MISMATCH",
                "{\"fault\":\"silent\"}                                   | FIRST_BYTE_TIMEOUT",
                "{\"fault\":\"die\"}                                      | LOST"
            })
    void faultFailsTheRequestOnAReusedConnection(String fault, String kind) throws Exception {
        fetch(chat("earlier", true, 4), TestStandins.LONG_TIMEOUTS);
        standins.injectFault("runner-1", fault);
        HttpFailure failure = assertThrows(HttpFailure.class, () -> fetch(chat("mine", true, 4), SHORT_TIMEOUTS));
        assertEquals(kind, failure.kind().name());
        assertTrue(failure.sent());
        standins.clearFaults("runner-1");
    }

    @Test
    void silentFaultAffectsOnlyConnectionsOpenAtThatTime() throws Exception {
        fetch(chat("earlier", true, 4), TestStandins.LONG_TIMEOUTS);
        standins.injectFault("runner-1", "{\"fault\":\"silent\"}");
        assertThrows(HttpFailure.class, () -> fetch(chat("first", true, 4), SHORT_TIMEOUTS));
        assertEquals(
                "200",
                fetch(chat("second", true, 4), TestStandins.LONG_TIMEOUTS).substring(0, 3));
    }

    @Test
    void secondRunOfAnIdempotencyKeyIsAViolation() throws Exception {
        fetch(chat("a", false, 1).with("Idempotency-Key", "k"), TestStandins.LONG_TIMEOUTS);
        assertEquals(0, standins.standins().runTracker().violations().size());
        standins.exchange("desk-1", HttpRequest.postJson("/release", "{}").with("Idempotency-Key", "k"));
        assertEquals(1, standins.standins().runTracker().violations().size());
    }

    @Test
    void replicasAreCountedAcrossEngines() throws Exception {
        loadAndAwait("plain");
        assertEquals(
                "[Count[model=summary, now=2, most=2, loads=2]]",
                standins.standins().replicaTracker().counts().toString());
        standins.injectFault("plain", "{\"fault\":\"die\"}");
        assertEquals(
                "[Count[model=summary, now=1, most=2, loads=2]]",
                standins.standins().replicaTracker().counts().toString());
    }

    @Test
    void failedLoadReportsItsFailureAndUsesNoMemory() throws Exception {
        standins.injectFault("plain", "{\"fault\":\"crash-loads\"}");
        orders.load(standins.address("plain"), LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE));
        while (state("plain").model(SUMMARY).orElseThrow().failure().isEmpty()) {
            Thread.onSpinWait();
        }
        assertEquals(0, state("plain").usedBytes());
    }

    /** Returns the state of the engine over a new connection, which a silent fault set earlier does not affect. */
    private String stateOnNewConnection() throws HttpFailure {
        HttpRequest state = HttpRequest.get("/orders/state");
        try (HttpCall call = standins.connector()
                .openOnNewConnection(standins.address("runner-1"), state, TestStandins.LONG_TIMEOUTS)) {
            return new String(call.readAll(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
        }
    }

    private HttpCall openStream(String requestId) throws HttpFailure {
        return standins.connector()
                .open(
                        standins.address("runner-1"),
                        chat(requestId, true, LONG_ANSWER_TOKENS),
                        TestStandins.LONG_TIMEOUTS);
    }
}
