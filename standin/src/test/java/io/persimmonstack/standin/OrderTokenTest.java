package io.persimmonstack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.engine.CheckpointPlace;
import io.persimmonstack.backends.engine.EngineException;
import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.HttpEngineOrders;
import io.persimmonstack.backends.engine.LoadOrder;
import io.persimmonstack.backends.engine.LoadOutcome;
import io.persimmonstack.backends.engine.UnloadOrder;
import io.persimmonstack.backends.engine.UnloadOutcome;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests orders to an engine that requires a bearer token. */
@Timeout(60)
class OrderTokenTest {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private final AtomicReference<Optional<String>> token = new AtomicReference<>(Optional.empty());

    @Test
    void ordersWithoutTheTokenAreRejectedAndLoadNothing() throws Exception {
        try (TestStandins standins = TestStandins.startWithTokenCheckingEngine()) {
            EngineOrders orders = HttpEngineOrders.of(
                    standins.connector(), TestStandins.LONG_TIMEOUTS, TestStandins.LONG_TIMEOUTS, token::get);
            PeerAddress engine = standins.address("checking");
            LoadOrder load = LoadOrder.ofBase(SUMMARY, 1, CheckpointPlace.REMOTE);
            assertRefused(orders.load(engine, load));
            assertThrows(EngineException.class, () -> orders.state(engine));
            token.set(Optional.of("open"));
            assertRefused(orders.load(engine, load));
            assertInstanceOf(UnloadOutcome.Refused.class, orders.unload(engine, UnloadOrder.ofBase(SUMMARY, 1)));
            token.set(Optional.of("sesame"));
            assertEquals(Optional.empty(), orders.state(engine).model(SUMMARY));
            assertInstanceOf(LoadOutcome.Accepted.class, orders.load(engine, load));
        }
    }

    private static void assertRefused(LoadOutcome outcome) {
        LoadOutcome.Refused refused = assertInstanceOf(LoadOutcome.Refused.class, outcome);
        assertTrue(refused.detail().contains("401"), refused.detail());
    }
}
