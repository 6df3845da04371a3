package io.persimmonstack.node.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.RunnerProcess;
import org.junit.jupiter.api.Test;

/** Durations are compared with what is usual for their kind, and reported as a median. */
class PaceRecorderTest {
    private static final long MS = 1_000_000;
    private static final RunnerProcess RUNNER = new RunnerProcess("r", 1);
    private static final PaceKey SHORT = PaceKey.of("s", "r", PaceKind.FIRST_EVENT, 100);
    private static final PaceKey LONG = PaceKey.of("s", "r", PaceKind.FIRST_EVENT, 4_000);
    private final PaceRecorder recorder = PaceRecorder.create();

    private void learn(PaceKey key, double usualMs) {
        for (int i = 0; i < 20; i++) {
            recorder.record(RUNNER, key, usualMs);
        }
        recorder.drain(0);
    }

    /** A long prompt takes longer at each runner; the one that got it is not slow. */
    @Test
    void durationsAreComparedWithThoseOfEqualSize() {
        learn(SHORT, 50);
        learn(LONG, 900);
        recorder.record(RUNNER, LONG, 900);
        assertEquals(1, recorder.drain(0).getFirst().ratio(), 0.01);
    }

    @Test
    void nothingIsReportedBeforeTheUsualDurationIsKnown() {
        recorder.record(RUNNER, SHORT, 50);
        assertTrue(recorder.drain(0).isEmpty());
    }

    @Test
    void oneSlowAnswerAmongSeveralDoesNotCount() {
        learn(SHORT, 50);
        recorder.record(RUNNER, SHORT, 50);
        recorder.record(RUNNER, SHORT, 5_000);
        RunnerPace pace = recorder.drain(0).getFirst();
        assertEquals(1, pace.ratio(), 0.01);
        assertEquals(2, pace.answers());
    }

    /** A runner that has stopped answering must be known as slow before its answers come. */
    @Test
    void overdueAnswerCountsOnce() {
        learn(SHORT, 50);
        PaceRecorder.Measurement measurement = recorder.begin(RUNNER, SHORT, 0);
        assertTrue(recorder.drain(100 * MS).isEmpty());
        assertEquals(8, recorder.drain(400 * MS).getFirst().ratio(), 0.1);
        recorder.finish(measurement, 500 * MS);
        assertTrue(recorder.drain(500 * MS).isEmpty());
    }

    @Test
    void answerThatWasGivenUpEarlyDoesNotCount() {
        learn(SHORT, 50);
        recorder.abandon(recorder.begin(RUNNER, SHORT, 0), 20 * MS);
        recorder.cancel(recorder.begin(RUNNER, SHORT, 0));
        assertTrue(recorder.drain(10_000 * MS).isEmpty());
    }
}
