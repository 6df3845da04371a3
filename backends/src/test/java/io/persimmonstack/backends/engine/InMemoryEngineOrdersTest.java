package io.persimmonstack.backends.engine;

import io.persimmonstack.backends.weights.Weight;
import io.persimmonstack.backends.weights.WeightCatalogue;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;

class InMemoryEngineOrdersTest extends EngineOrdersContract {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private static final PeerAddress FENCING = PeerAddress.parse("10.0.0.1:1");
    private static final PeerAddress NON_FENCING = PeerAddress.parse("10.0.0.2:1");
    private final InMemoryEngineOrders orders = InMemoryEngineOrders.of(new WeightCatalogue(
            3,
            4,
            30,
            List.of(
                    new Weight(SUMMARY, Optional.empty(), 200, 100),
                    new Weight(ModelVersion.of("lease", "1"), Optional.empty(), 200, 100),
                    new Weight(SUMMARY, Optional.of("tenants"), 10, 5),
                    new Weight(SUMMARY, Optional.of("wide"), 10, 100))));

    @BeforeEach
    void addEngines() {
        orders.add(FENCING, "fencing", 150, true);
        orders.add(NON_FENCING, "plain", 150, false);
    }

    @Override
    protected EngineOrders orders() {
        return orders;
    }

    @Override
    protected PeerAddress fencingEngine() {
        return FENCING;
    }

    @Override
    protected PeerAddress nonFencingEngine() {
        return NON_FENCING;
    }
}
