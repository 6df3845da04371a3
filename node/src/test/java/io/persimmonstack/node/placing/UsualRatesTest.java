package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Workspace;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against surges that count as usual, and against usual requests that count as a surge. */
class UsualRatesTest {
    private static final int MINUTE_MS = 60_000;
    private static final Workspace WORKSPACE = QueuedRequests.workspace("w", 0, 10_000);
    private final UsualRates rates = new UsualRates();
    private final Random random = new Random(3);
    private double nowMs;
    private int sent;

    /** Sends at random times for a time; returns the number of usual requests, {@link #sent} tells that of all. */
    private int send(double perSecond, int durationMs) {
        double endMs = nowMs + durationMs;
        int usual = 0;
        sent = 0;
        while (nowMs < endMs) {
            QueuedRequest queued = QueuedRequests.received((long) nowMs)
                    .of(WORKSPACE)
                    .withTokens(random.nextInt(200, 1_800))
                    .build();
            usual += rates.countArrival(queued.request()) ? 1 : 0;
            sent++;
            nowMs -= Math.log(1 - random.nextDouble()) / perSecond * 1_000;
        }
        return usual;
    }

    /** The rates are those of a workspace at one of many nodes, and of a fleet in one queue. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 1, 5, 100})
    void variationAroundTheAverageIsUsual(double perSecond) {
        send(perSecond, 10 * MINUTE_MS);
        int usual = send(perSecond, 60 * MINUTE_MS);
        assertTrue(usual >= 0.9 * sent, usual + " of " + sent);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.8, 7})
    void surgeOfAMinuteIsNotUsual(double surge) {
        int before = send(20, 10 * MINUTE_MS) / 10;
        int usual = send(20 * surge, MINUTE_MS);
        assertTrue(usual >= 0.95 * before && usual <= 1.25 * before, usual + " of " + before + " before");
    }

    @Test
    void lastingGrowthBecomesUsual() {
        send(2, 30 * MINUTE_MS);
        send(6, 60 * MINUTE_MS);
        int usual = send(6, 10 * MINUTE_MS);
        assertTrue(usual >= 0.9 * sent, usual + " of " + sent);
    }

    @Test
    void workspaceThatHasBeenSilentBeginsAnew() {
        send(1, 30 * MINUTE_MS);
        nowMs += 10 * MINUTE_MS;
        assertEquals(send(20, MINUTE_MS / 4), sent);
    }
}
