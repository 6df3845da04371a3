package io.persimmonstack.backends.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Behaviour common to all {@link EngineOrders}. The tests need one engine that checks fencing tokens and one that does
 * not, with 150 bytes of memory each, and these weights: summary@1 and lease@1 (100 bytes in memory each), and the
 * adapters summary@1+tenants (5 bytes) and summary@1+wide (100 bytes).
 */
@Timeout(60)
public abstract class EngineOrdersContract {
    private static final ModelVersion SUMMARY = ModelVersion.of("summary", "1");
    private static final ModelVersion LEASE = ModelVersion.of("lease", "1");

    /** Returns the implementation under test. */
    protected abstract EngineOrders orders();

    /** Returns the address of the engine that refuses stale fencing tokens. */
    protected abstract PeerAddress fencingEngine();

    /** Returns the address of the engine that ignores fencing tokens. */
    protected abstract PeerAddress nonFencingEngine();

    @Test
    void loadReservesMemoryImmediatelyAndBecomesLoaded() throws EngineException {
        assertInstanceOf(LoadOutcome.Accepted.class, load(fencingEngine(), SUMMARY, 1));
        assertEquals(100, orders().state(fencingEngine()).usedBytes());
        awaitLoaded(fencingEngine(), SUMMARY);
        assertInstanceOf(LoadOutcome.Loaded.class, load(fencingEngine(), SUMMARY, 1));
        assertEquals(150, orders().state(fencingEngine()).memoryBytes());
    }

    @Test
    void memoryIsNeverOvercommitted() throws EngineException {
        load(fencingEngine(), SUMMARY, 1);
        assertInstanceOf(LoadOutcome.NoMemory.class, load(fencingEngine(), LEASE, 1));
        awaitLoaded(fencingEngine(), SUMMARY);
        assertInstanceOf(
                LoadOutcome.NoMemory.class, orders().load(fencingEngine(), LoadOrder.ofAdapter(SUMMARY, "wide", 1)));
        assertEquals(100, orders().state(fencingEngine()).usedBytes());
    }

    @Test
    void staleFencingTokenIsRefusedWithTheHighestToken() throws EngineException {
        load(fencingEngine(), SUMMARY, 7);
        LoadOutcome.Fenced load = assertInstanceOf(LoadOutcome.Fenced.class, load(fencingEngine(), SUMMARY, 6));
        assertEquals(7, load.fence());
        UnloadOutcome.Fenced unload = assertInstanceOf(
                UnloadOutcome.Fenced.class, orders().unload(fencingEngine(), UnloadOrder.ofBase(SUMMARY, 6)));
        assertEquals(7, unload.fence());
        assertTrue(orders().state(fencingEngine()).model(SUMMARY).isPresent());
        assertEquals(7, orders().state(fencingEngine()).fence());
    }

    @Test
    void nonFencingEngineIgnoresFencingTokens() throws EngineException {
        load(nonFencingEngine(), SUMMARY, 7);
        assertInstanceOf(
                UnloadOutcome.Unloaded.class, orders().unload(nonFencingEngine(), UnloadOrder.ofBase(SUMMARY, 6)));
        assertFalse(orders().state(nonFencingEngine()).fencing());
    }

    @Test
    void adapterIsRefusedUntilItsBaseModelIsLoaded() throws EngineException {
        LoadOrder order = LoadOrder.ofAdapter(SUMMARY, "tenants", 1);
        assertInstanceOf(LoadOutcome.Refused.class, orders().load(fencingEngine(), order));
        load(fencingEngine(), SUMMARY, 1);
        awaitLoaded(fencingEngine(), SUMMARY);
        assertInstanceOf(LoadOutcome.Accepted.class, orders().load(fencingEngine(), order));
        while (!adapters().contains("tenants")) {
            Thread.onSpinWait();
        }
        assertInstanceOf(LoadOutcome.Loaded.class, orders().load(fencingEngine(), order));
        assertEquals(105, orders().state(fencingEngine()).usedBytes());
        orders().unload(fencingEngine(), UnloadOrder.ofAdapter(SUMMARY, "tenants", 1));
        assertEquals(List.of(), adapters());
        assertEquals(100, orders().state(fencingEngine()).usedBytes());
    }

    @Test
    void unloadFreesMemoryAndIsIdempotent() throws EngineException {
        load(fencingEngine(), SUMMARY, 1);
        for (int i = 0; i < 2; i++) {
            assertInstanceOf(
                    UnloadOutcome.Unloaded.class, orders().unload(fencingEngine(), UnloadOrder.ofBase(SUMMARY, 1)));
            assertEquals(0, orders().state(fencingEngine()).usedBytes());
        }
        assertInstanceOf(LoadOutcome.Accepted.class, load(fencingEngine(), LEASE, 1));
    }

    @Test
    void unknownModelVersionIsRefused() {
        assertInstanceOf(LoadOutcome.Refused.class, load(fencingEngine(), ModelVersion.of("summary", "9"), 1));
    }

    private LoadOutcome load(PeerAddress engine, ModelVersion version, long fencingToken) {
        return orders().load(engine, LoadOrder.ofBase(version, fencingToken, CheckpointPlace.REMOTE));
    }

    private List<String> adapters() throws EngineException {
        return orders().state(fencingEngine()).model(SUMMARY).orElseThrow().adapters();
    }

    private void awaitLoaded(PeerAddress engine, ModelVersion version) throws EngineException {
        while (orders().state(engine).model(version).orElseThrow().state() != ModelState.LOADED) {
            Thread.onSpinWait();
        }
    }
}
