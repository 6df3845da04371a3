package io.persimmonstack.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What runners say about themselves binds a node until another process takes their identifier. */
class RunnerNoticesTest {
    private static final long NOW_NANOS = Long.MAX_VALUE - 5;
    private final FleetView view = FleetView.create();

    private static Runner runner(long startedMs) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner("r1", startedMs, "v1", "s", address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    private void listInStore(Runner runner) {
        view.update(fleet -> fleet.withRunners(Map.of("r1", runner), 1));
    }

    private boolean countsAsLeaving() {
        return view.current().runners().get("r1").leaving();
    }

    @Test
    void leavingByOwnWordOutlastsEntriesThatSayReady() {
        listInStore(runner(1));
        view.recordNotice(runner(1), RunnerNotice.of(true));
        assertTrue(countsAsLeaving());
        listInStore(runner(1));
        assertTrue(countsAsLeaving());
        assertEquals(List.of(new RunnerProcess("r1", 1)), view.leavingByOwnWord());
    }

    /** The entry may vanish and come back around an outage of the store. */
    @Test
    void leavingByOwnWordOutlastsTheLossOfTheEntry() {
        listInStore(runner(1));
        view.recordNotice(runner(1), RunnerNotice.of(true));
        view.update(fleet -> fleet.withRunners(Map.of(), 2));
        assertEquals(List.of(), view.leavingByOwnWord());
        listInStore(runner(1));
        assertTrue(countsAsLeaving());
    }

    @Test
    void nextProcessOfTheRunnerIsNotLeaving() {
        listInStore(runner(1));
        view.recordNotice(runner(1), RunnerNotice.quiet(true, 1_000));
        listInStore(runner(2));
        assertFalse(countsAsLeaving());
        assertTrue(view.withholdReason(runner(2), System.nanoTime()).isEmpty());
        assertTrue(view.withholdReason(runner(1), System.nanoTime()).isPresent());
    }

    @Test
    void lateAnswerOfTheFormerProcessDoesNotConcernTheNext() {
        listInStore(runner(2));
        view.recordNotice(runner(1), RunnerNotice.of(true));
        assertFalse(countsAsLeaving());
    }

    @Test
    void leavingHeardFromAnotherNodeCountsAlike() {
        listInStore(runner(1));
        view.recordLeaving(List.of(new RunnerProcess("r1", 1), new RunnerProcess("unknown", 1)), "leader");
        assertTrue(countsAsLeaving());
        assertEquals(List.of(new RunnerProcess("r1", 1)), view.leavingByOwnWord());
    }

    @Test
    void listenersLearnOfNoticesOnce() {
        listInStore(runner(1));
        int[] calls = new int[1];
        view.onChange(() -> calls[0]++);
        view.recordNotice(runner(1), RunnerNotice.of(true));
        view.recordNotice(runner(1), RunnerNotice.of(true));
        view.recordNotice(runner(1), RunnerNotice.none());
        assertEquals(1, calls[0]);
    }

    @Test
    void shorterPauseDoesNotEndALongerOne() {
        RunnerNotices notices = RunnerNotices.create();
        RunnerProcess process = runner(1).process();
        notices.recordQuiet(process, 2_000, NOW_NANOS);
        notices.recordQuiet(process, 100, NOW_NANOS);
        assertEquals(
                OptionalLong.of(NOW_NANOS + TimeUnit.SECONDS.toNanos(2)),
                notices.quietUntilNanos(process, NOW_NANOS + TimeUnit.SECONDS.toNanos(1)));
        assertTrue(notices.quietUntilNanos(process, NOW_NANOS + TimeUnit.SECONDS.toNanos(2))
                .isEmpty());
    }

    @Test
    void pauseOfAnHourIsShortened() {
        RunnerNotices notices = RunnerNotices.create();
        RunnerProcess process = runner(1).process();
        notices.recordQuiet(process, TimeUnit.HOURS.toMillis(1), NOW_NANOS);
        assertTrue(
                notices.quietUntilNanos(process, NOW_NANOS + TimeUnit.MILLISECONDS.toNanos(RunnerNotices.MAX_QUIET_MS))
                        .isEmpty());
    }
}
