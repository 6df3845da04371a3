package io.persimmonstack.load.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class CompressedTraceTest {
    private static final int MODELS = 12;
    private static final long DURATION_MS = 240_000;

    @Test
    void requestsAreOrderedWithinTheDurationAndReproducibleBySeed() {
        CompressedTrace trace = CompressedTrace.generate(MODELS, 60, 15, DURATION_MS, 1);
        List<CompressedTrace.Request> requests = trace.requests();
        long previousMs = 0;
        for (CompressedTrace.Request request : requests) {
            assertTrue(request.atMs() >= previousMs && request.atMs() < DURATION_MS, request::toString);
            assertTrue(request.modelIndex() < MODELS, request::toString);
            previousMs = request.atMs();
        }
        assertTrue(requests.size() > 100, requests.size() + " requests");
        assertEquals(
                requests,
                CompressedTrace.generate(MODELS, 60, 15, DURATION_MS, 1).requests());
    }

    @Test
    void replayTableHasALineForEachPolicy() {
        String table = CompressedTrace.generate(MODELS, 60, 15, DURATION_MS, 1).replay(2_000, 60);
        for (String policy : List.of("adaptive", "fixed 10 s", "fixed 40 s", "never unload", "clairvoyant")) {
            assertTrue(table.contains(policy), table);
        }
    }
}
