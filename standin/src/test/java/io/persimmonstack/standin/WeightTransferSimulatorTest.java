package io.persimmonstack.standin;

import io.persimmonstack.standin.weights.LoadProgress;
import io.persimmonstack.standin.weights.WeightStoreSettings;
import io.persimmonstack.standin.weights.WeightTransferSimulator;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests how concurrent loads share the rate of the weight store. The loads are too long to end within the test; it
 * checks their estimated remaining times.
 */
@Timeout(60)
class WeightTransferSimulatorTest {
    private static final long CHECKPOINT_BYTES = 1_000_000;
    private static final int FULL_SPEED_LOAD_MS = 1_000_000;
    private static final int UNLIMITED_LOADS_PER_SECOND = 1_000_000;
    private final WeightTransferSimulator transfers = WeightTransferSimulator.of(new WeightStoreSettings(
            0, UNLIMITED_LOADS_PER_SECOND, 4, 30, CHECKPOINT_BYTES / 1_000, FULL_SPEED_LOAD_MS, List.of()));
    private final List<LoadProgress> loads = new ArrayList<>();

    private interface Fetch {
        void run(LoadProgress progress) throws InterruptedException;
    }

    private void startLoads(int count, Fetch fetch) {
        for (int i = 0; i < count; i++) {
            LoadProgress progress = new LoadProgress();
            loads.add(progress);
            Thread.ofVirtual().start(() -> {
                try {
                    fetch.run(progress);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    private void awaitEstimatesBetween(long fromMs, long toMs) {
        while (!loads.stream().allMatch(load -> load.readyInMs() > fromMs && load.readyInMs() <= toMs)) {
            Thread.onSpinWait();
        }
        loads.forEach(LoadProgress::cancel);
        Assertions.assertFalse(loads.isEmpty());
    }

    @Test
    void loadsUpToTheLimitRunAtFullSpeed() {
        startLoads(4, progress -> transfers.awaitFetch(CHECKPOINT_BYTES, progress, 1));
        awaitEstimatesBetween(FULL_SPEED_LOAD_MS / 2, FULL_SPEED_LOAD_MS);
    }

    @Test
    void twiceTheFullSpeedLoadsTakeTwiceAsLong() {
        startLoads(8, progress -> transfers.awaitFetch(CHECKPOINT_BYTES, progress, 1));
        awaitEstimatesBetween(FULL_SPEED_LOAD_MS * 3L / 2, FULL_SPEED_LOAD_MS * 2L);
        String ledger = transfers.ledger().toString();
        Assertions.assertTrue(ledger.contains("mostLoadsAtOnce=8, fullSpeedLoads=4"), ledger);
    }

    @Test
    void twiceTheFullSpeedAdaptersTakeTwiceAsLong() {
        startLoads(60, progress -> transfers.awaitAdapterFetch(progress, 1));
        awaitEstimatesBetween(FULL_SPEED_LOAD_MS * 3L / 2, FULL_SPEED_LOAD_MS * 2L);
    }
}
