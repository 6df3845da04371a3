package io.persimmonstack.coordinator.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The last request and refusal of a model, where two threads record them at once. */
class LoadHistoryTest {
    private static final int RECORDS = 200_000;
    private static final long TIMEOUT_S = 60;
    private static final LoadKey KEY = new LoadKey(ModelVersion.of("summary", "v1"), Optional.empty());
    private final LoadHistory history = LoadHistory.create();

    private LoadHistory.Entry entry() {
        return history.entriesFor(List.of(KEY)).getFirst();
    }

    @Test
    void recordsOfOneThreadAreNotLostToThoseOfAnother() throws Exception {
        try (ExecutorService recorder = Executors.newSingleThreadExecutor()) {
            Future<?> refusals = recorder.submit(() -> {
                for (int i = 0; i < RECORDS; i++) {
                    LoadHistory.Occurrence refused = new LoadHistory.Occurrence(i, "refused");
                    history.recordRefused(KEY, refused);
                    assertEquals(Optional.of(refused), entry().lastRefused());
                }
            });
            for (int i = 0; i < RECORDS; i++) {
                LoadHistory.Occurrence requested = new LoadHistory.Occurrence(i, "requested");
                history.recordRequested(KEY, requested);
                assertEquals(Optional.of(requested), entry().lastRequested());
            }
            refusals.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
