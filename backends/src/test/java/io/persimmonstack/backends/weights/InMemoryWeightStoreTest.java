package io.persimmonstack.backends.weights;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

class InMemoryWeightStoreTest extends WeightStoreContract {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private final InMemoryWeightStore store = InMemoryWeightStore.of(new WeightCatalogue(
            3,
            4,
            30,
            List.of(
                    new Weight(SUMMARY, Optional.empty(), 200, 100),
                    new Weight(SUMMARY, Optional.of("tenants"), 10, 5))));

    @Override
    protected WeightStore store() {
        return store;
    }

    @Override
    protected void takeDown() {
        store.setDown(true);
    }
}
