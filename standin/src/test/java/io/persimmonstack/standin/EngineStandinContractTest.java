package io.persimmonstack.standin;

import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.engine.EngineOrdersContract;
import io.persimmonstack.backends.engine.HttpEngineOrders;
import io.persimmonstack.wire.PeerAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

class EngineStandinContractTest extends EngineOrdersContract {
    private TestStandins standins;
    private EngineOrders orders;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.startWithPlainEngine();
        orders = HttpEngineOrders.of(standins.connector(), TestStandins.PATIENT, TestStandins.PATIENT);
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
