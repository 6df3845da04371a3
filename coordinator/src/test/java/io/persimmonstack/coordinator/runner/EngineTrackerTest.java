package io.persimmonstack.coordinator.runner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.EngineState;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.LoadKey;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Reservations for unanswered load orders. */
class EngineTrackerTest {
    private static final long MEMORY_BYTES = 100;
    private static final long MODEL_BYTES = 60;
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private static final LoadKey KEY = new LoadKey(MODEL, Optional.empty());
    private final EngineTracker tracker = new EngineTracker();

    /**
     * An unanswered load order may still arrive at any later time, so no number of inspections frees slot or memory.
     */
    @Test
    void unansweredOrderKeepsMemoryAndSlotUntilTheEngineIsFenced() {
        tracker.onInspected(state(List.of()));
        tracker.reserve(KEY, MODEL_BYTES);
        tracker.quarantine(KEY, MODEL_BYTES);
        for (int inspection = 0; inspection < 1_000; inspection++) {
            tracker.onInspected(state(List.of()));
        }
        assertTrue(tracker.hasUnansweredOrders());
        assertFalse(tracker.isClearOf(MODEL));
        assertEquals(MEMORY_BYTES - MODEL_BYTES, tracker.freeBytes());
        tracker.onFenced();
        assertTrue(tracker.isClearOf(MODEL));
        assertEquals(MEMORY_BYTES, tracker.freeBytes());
    }

    /** A later order for the same key may be refused while the unanswered one can still take effect. */
    @Test
    void refusedOrderKeepsTheMemoryOfAnEarlierUnansweredOne() {
        tracker.onInspected(state(List.of()));
        tracker.reserve(KEY, MODEL_BYTES);
        tracker.quarantine(KEY, MODEL_BYTES);
        tracker.reserve(KEY, MODEL_BYTES);
        tracker.release(KEY);
        tracker.onInspected(state(List.of()));
        assertTrue(tracker.hasUnansweredOrders());
        assertEquals(MEMORY_BYTES - MODEL_BYTES, tracker.freeBytes());
    }

    @Test
    void acceptedOrderKeepsTheMemoryOfAnEarlierUnansweredOneUntilItsEffectIsSeen() {
        tracker.onInspected(state(List.of()));
        tracker.quarantine(KEY, MODEL_BYTES);
        tracker.reserve(KEY, MODEL_BYTES);
        tracker.onInspected(state(List.of()));
        assertEquals(MEMORY_BYTES - MODEL_BYTES, tracker.freeBytes());
        tracker.onInspected(state(List.of(loading())));
        assertFalse(tracker.hasUnansweredOrders());
    }

    @Test
    void unansweredOrderWhoseEffectIsSeenIsCountedOnce() {
        tracker.onInspected(state(List.of()));
        tracker.quarantine(KEY, MODEL_BYTES);
        tracker.onInspected(state(List.of(loading())));
        assertFalse(tracker.hasUnansweredOrders());
        assertEquals(MEMORY_BYTES - MODEL_BYTES, tracker.freeBytes());
    }

    private static EngineModel loading() {
        return new EngineModel(MODEL, ModelState.LOADING, MODEL_BYTES, List.of(), 10, Optional.empty());
    }

    private static EngineState state(List<EngineModel> models) {
        long used = models.stream().mapToLong(EngineModel::memoryBytes).sum();
        return new EngineState(
                "runner", MEMORY_BYTES, used, 8, 0, 0, true, 1, false, models, List.of(), Optional.empty());
    }
}
