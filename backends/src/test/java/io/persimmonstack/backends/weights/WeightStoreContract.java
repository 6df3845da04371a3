package io.persimmonstack.backends.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.model.ModelVersion;
import org.junit.jupiter.api.Test;

/**
 * Behaviour common to all {@link WeightStore}s. The tests need a store with the model summary@1 (200 bytes in the
 * store, 100 in memory) and its adapter tenants (10 and 5 bytes).
 */
public abstract class WeightStoreContract {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");

    /** Returns the weight store under test. */
    protected abstract WeightStore store();

    /** Makes the service unavailable. */
    protected abstract void takeDown() throws Exception;

    @Test
    void catalogueContainsLimitsAndSizes() throws WeightStoreException {
        WeightCatalogue catalogue = store().catalogue();
        assertEquals(3, catalogue.loadsPerSecond());
        assertEquals(4, catalogue.fullSpeedLoads());
        assertEquals(30, catalogue.adaptersInFlight());
        assertEquals(100, catalogue.checkpoint(SUMMARY).orElseThrow().memoryBytes());
        assertEquals(10, catalogue.adapter(SUMMARY, "tenants").orElseThrow().bytes());
        assertTrue(catalogue.checkpoint(ModelVersion.of("summary", "2")).isEmpty());
    }

    @Test
    void readFailsWhileServiceIsDown() throws Exception {
        takeDown();
        assertThrows(WeightStoreException.class, () -> store().catalogue());
    }
}
