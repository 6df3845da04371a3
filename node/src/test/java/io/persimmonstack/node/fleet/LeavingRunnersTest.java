package io.persimmonstack.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The time of a leaving runner counts from the last moment at which the node knew that it stayed. */
class LeavingRunnersTest {
    private static final long SERVING_MS = 2_000;
    private static final long USABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(SERVING_MS / 2);
    private static final long NOW_NANOS = Long.MAX_VALUE - 5;
    private static final Map<String, Runner> STAYS = listed(runner(1));
    private static final Map<String, Runner> LEAVES = listed(runner(1).asLeaving());
    private static final Map<String, Runner> NONE = Map.of();
    private static final RunnerProcess PROCESS = runner(1).process();

    private final LeavingRunners runners = LeavingRunners.of(OptionalLong.of(SERVING_MS));

    private static Runner runner(long startedMs) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner("r1", startedMs, "v1", "s", address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    private static Map<String, Runner> listed(Runner runner) {
        return Map.of(runner.id(), runner);
    }

    @Test
    void timeCountsFromWhenTheRunnerWasKnownToStay() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(NONE, STAYS);
        runners.recordChange(STAYS, LEAVES);
        runners.recordCompleteUpTo(NOW_NANOS + 1);
        assertEquals(OptionalLong.of(NOW_NANOS + USABLE_NANOS), runners.untilNanos(PROCESS));
    }

    @Test
    void runnerThatStaysHasNoTime() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(NONE, STAYS);
        assertEquals(OptionalLong.empty(), runners.untilNanos(PROCESS));
    }

    @Test
    void runnerTakesNothingIfNoServingTimeIsKnown() {
        LeavingRunners unknown = LeavingRunners.of(OptionalLong.empty());
        unknown.recordCompleteUpTo(NOW_NANOS);
        unknown.recordChange(STAYS, LEAVES);
        assertEquals(OptionalLong.empty(), unknown.untilNanos(PROCESS));
    }

    @Test
    void runnerThatBeganToLeaveAroundAnOutageTakesNothing() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordIncomplete();
        runners.recordChange(STAYS, LEAVES);
        runners.recordCompleteUpTo(NOW_NANOS + 1);
        runners.recordChange(LEAVES, LEAVES);
        assertEquals(OptionalLong.empty(), runners.untilNanos(PROCESS));
    }

    @Test
    void runnerThatWasNotListedBeforeTakesNothing() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(NONE, LEAVES);
        runners.recordChange(LEAVES, STAYS);
        runners.recordChange(STAYS, LEAVES);
        assertEquals(OptionalLong.empty(), runners.untilNanos(PROCESS));
    }

    /** An older copy of the store may tell that the runner stays, after the newer state told that it leaves. */
    @Test
    void timeDoesNotBeginAgain() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(STAYS, LEAVES);
        runners.recordCompleteUpTo(NOW_NANOS + 1);
        runners.recordChange(LEAVES, STAYS);
        runners.recordChange(STAYS, LEAVES);
        assertEquals(OptionalLong.of(NOW_NANOS + USABLE_NANOS), runners.untilNanos(PROCESS));
    }

    @Test
    void runnerWhoseEntryWasGoneTakesNothing() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(STAYS, NONE);
        runners.recordChange(NONE, STAYS);
        runners.recordChange(STAYS, LEAVES);
        assertEquals(OptionalLong.empty(), runners.untilNanos(PROCESS));
    }

    @Test
    void runnerWhoseEntryIsGoneWhileItLeavesTakesNothingMore() {
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(STAYS, LEAVES);
        runners.recordChange(LEAVES, NONE);
        assertEquals(OptionalLong.empty(), runners.untilNanos(PROCESS));
    }

    @Test
    void nextProcessHasATimeOfItsOwn() {
        Map<String, Runner> next = listed(runner(2));
        runners.recordCompleteUpTo(NOW_NANOS);
        runners.recordChange(STAYS, LEAVES);
        runners.recordChange(LEAVES, next);
        runners.recordCompleteUpTo(NOW_NANOS + 1);
        runners.recordChange(next, listed(runner(2).asLeaving()));
        assertEquals(OptionalLong.empty(), runners.untilNanos(PROCESS));
        assertEquals(
                OptionalLong.of(NOW_NANOS + 1 + USABLE_NANOS),
                runners.untilNanos(runner(2).process()));
    }
}
