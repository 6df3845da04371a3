package io.persimmonstack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.engine.CheckpointPlace;
import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.EngineOrders;
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
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the faults of the weight store, slow loads on one engine, and the faults of plain services. */
@Timeout(60)
class LoadAndServiceFaultsTest {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private static final HttpTimeouts SHORT_TIMEOUTS = HttpTimeouts.of(5_000, 500, 500);
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    /**
     * Estimated remaining time, in milliseconds, that only a slowed-down load exceeds; at full speed it takes 20 ms.
     */
    private static final long MIN_SLOWED_ESTIMATE_MS = 100_000;

    private TestStandins standins;
    private EngineOrders orders;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.startWithNonFencingEngine();
        orders = HttpEngineOrders.of(standins.connector(), TestStandins.LONG_TIMEOUTS, TestStandins.LONG_TIMEOUTS);
    }

    @AfterEach
    void stop() {
        standins.close();
    }

    @Test
    void slowStoreDelaysLoadsOfAllEnginesUntilItRecovers() throws Exception {
        standins.injectFault(Standins.WEIGHT_STORE, "{\"fault\":\"slow\",\"factor\":100000}");
        orderLoad("runner-1");
        orderLoad("plain");
        awaitModel("runner-1", model -> model.readyInMs() > MIN_SLOWED_ESTIMATE_MS);
        awaitModel("plain", model -> model.readyInMs() > MIN_SLOWED_ESTIMATE_MS);
        standins.clearFaults(Standins.WEIGHT_STORE);
        awaitModel("runner-1", model -> model.state() == ModelState.LOADED);
        awaitModel("plain", model -> model.state() == ModelState.LOADED);
    }

    @Test
    void loadsPauseWhileTheStoreIsDown() throws Exception {
        standins.injectFault(Standins.WEIGHT_STORE, "{\"fault\":\"down\"}");
        orderLoad("runner-1");
        HttpRequest catalogue = HttpRequest.get("/weights");
        assertThrows(HttpFailure.class, () -> standins.exchange(Standins.WEIGHT_STORE, catalogue));
        awaitModel("runner-1", model -> model.readyInMs() > 0);
        standins.clearFaults(Standins.WEIGHT_STORE);
        awaitModel("runner-1", model -> model.state() == ModelState.LOADED);
        assertTrue(standins.exchange(Standins.WEIGHT_STORE, catalogue).startsWith("200 "));
    }

    @Test
    void slowLoadsFaultAffectsOnlyItsEngine() throws Exception {
        standins.injectFault("plain", "{\"fault\":\"slow-loads\",\"factor\":100000}");
        orderLoad("plain");
        orderLoad("runner-1");
        awaitModel("plain", model -> model.readyInMs() > MIN_SLOWED_ESTIMATE_MS);
        awaitModel("runner-1", model -> model.state() == ModelState.LOADED);
        assertEquals(ModelState.LOADING, model("plain").orElseThrow().state());
    }

    private void orderLoad(String runner) {
        orders.load(standins.address(runner), LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE));
    }

    private Optional<EngineModel> model(String runner) throws Exception {
        return orders.state(standins.address(runner)).model(SUMMARY);
    }

    /** Waits until an engine reports the model in a state that meets the condition. */
    private void awaitModel(String runner, Predicate<EngineModel> condition) throws Exception {
        while (model(runner).filter(condition).isEmpty()) {
            Thread.onSpinWait();
        }
    }

    @ParameterizedTest(name = "{0}: {1}, {2} runs")
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"fault\":\"lose-replies\",\"count\":1}        | LOST               | 2",
                "{\"fault\":\"slow\",\"delayMs\":90000,\"count\":1} | FIRST_BYTE_TIMEOUT | 2",
                "{\"fault\":\"silent\"}                           | FIRST_BYTE_TIMEOUT | 1"
            })
    void serviceFaultFailsTheCallAndTheLedgerCountsWhetherItRan(String fault, String kind, int runs) throws Exception {
        call("before");
        standins.injectFault("desk-1", fault);
        HttpFailure failure = assertThrows(HttpFailure.class, () -> call("mine"));
        assertEquals(kind, failure.kind().name());
        assertTrue(failure.sent());
        String ledger = standins.exchange("desk-1", HttpRequest.get("/ledger"));
        assertEquals("200 {\"instance\":\"desk-1\",\"callsRun\":" + runs + "}", ledger);
        assertTrue(call("after").startsWith("200 "));
    }

    private String call(String requestId) throws HttpFailure {
        HttpRequest request = HttpRequest.postJson("/release", "{}").with("X-Request-Id", requestId);
        try (HttpCall call = standins.connector().open(standins.address("desk-1"), request, SHORT_TIMEOUTS)) {
            return call.status() + " " + new String(call.readAll(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
        }
    }
}
