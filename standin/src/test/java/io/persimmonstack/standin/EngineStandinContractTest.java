package io.persimmonstack.standin;

import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.EngineOrdersContract;
import io.persimmonstack.backends.engine.HttpEngineOrders;
import io.persimmonstack.wire.PeerAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs the engine orders contract against the stand-in. */
class EngineStandinContractTest extends EngineOrdersContract {
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

    @Override
    protected EngineOrders orders() {
        return orders;
    }

    @Override
    protected PeerAddress fencingEngine() {
        return standins.address("runner-1");
    }

    @Override
    protected PeerAddress nonFencingEngine() {
        return standins.address("plain");
    }
}
