package io.persimmonstack.standin;

import io.persimmonstack.backends.weights.HttpWeightStore;
import io.persimmonstack.backends.weights.WeightStore;
import io.persimmonstack.backends.weights.WeightStoreContract;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs the weight store contract against the stand-in. */
class WeightStoreStandinTest extends WeightStoreContract {
    private TestStandins standins;
    private WeightStore store;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.start();
        store = HttpWeightStore.of(
                standins.connector(), standins.address(Standins.WEIGHT_STORE), TestStandins.LONG_TIMEOUTS);
    }

    @AfterEach
    void stop() {
        standins.close();
    }

    @Override
    protected WeightStore store() {
        return store;
    }

    @Override
    protected void takeDown() throws Exception {
        standins.injectFault(Standins.WEIGHT_STORE, "{\"fault\":\"down\"}");
    }
}
