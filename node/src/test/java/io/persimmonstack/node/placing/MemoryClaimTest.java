package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Scarce memory of runners is claimed through the leader before it is used. */
class MemoryClaimTest {
    private static final int NODES = 81;
    private static final int SLOTS = 24;
    private static final long CACHE_TOKENS = 80_000;
    private static final long TOKENS = 7_000;
    private static final long MS = 1_000_000;
    private static final Service SERVICE =
            new Service("s", "/health", 10, Optional.of(new Engine(SLOTS, CACHE_TOKENS, 100, 0, 3, Map.of())));
    private final Random random = new Random(1);

    private static RunnerLoadTracker tracker(String id, int requestsElsewhere, long tokensElsewhere) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        RunnerLoadTracker tracker = new RunnerLoadTracker(
                new Runner(id, 1, "v1", "s", address, "z", SLOTS, false, List.of(), Set.of(), Set.of()));
        tracker.applySnapshot(new RunnerSnapshot(id, 1, Optional.empty(), requestsElsewhere, tokensElsewhere));
        return tracker;
    }

    private static RunnerLoadTracker scarce(String id) {
        return tracker(id, 10, 60_000);
    }

    private Optional<RunnerLoadTracker> choose(List<RunnerLoadTracker> trackers, long nowMs) {
        RunnerSelector.Requirements requirements =
                new RunnerSelector.Requirements(Optional.empty(), TOKENS, RunnerFilter.any(), Optional.empty());
        return RunnerSelector.of(SERVICE, "z", NODES, random, nowMs * MS).choose(trackers, requirements);
    }

    private static long openClaims(List<RunnerLoadTracker> trackers, long nowMs) {
        return trackers.stream()
                .filter(tracker -> tracker.memoryClaim().isOpen(nowMs * MS))
                .count();
    }

    /** Room that is claimed is lost to others, so that none is claimed while a runner has room. */
    @Test
    void nothingIsClaimedWhileAnotherRunnerHasRoom() {
        List<RunnerLoadTracker> trackers = List.of(scarce("a"), scarce("b"), tracker("c", 0, 0));
        for (int nowMs = 1; nowMs < 2_000; nowMs += 10) {
            assertEquals(Optional.of(trackers.getLast()), choose(trackers, nowMs));
            assertEquals(0, openClaims(trackers, nowMs));
        }
    }

    @Test
    void waitingRequestHoldsFewClaims() {
        List<RunnerLoadTracker> trackers =
                List.of(scarce("a"), scarce("b"), scarce("c"), scarce("d"), scarce("e"), scarce("f"));
        long most = 0;
        for (int nowMs = 1; nowMs < 5_000; nowMs += 10) {
            assertTrue(choose(trackers, nowMs).isEmpty());
            most = Math.max(most, openClaims(trackers, nowMs));
        }
        assertEquals(3, most);
    }

    /** Before the leader has answered, another node may have claimed the same room. */
    @Test
    void claimedRoomIsUsedOnlyOnceTheLeaderHasAnswered() {
        RunnerLoadTracker tracker = scarce("a");
        int nowMs = 1;
        while (!tracker.memoryClaim().isOpen(nowMs * MS)) {
            assertTrue(choose(List.of(tracker), nowMs).isEmpty());
            nowMs += 10;
        }
        tracker.memoryClaim().answered();
        assertTrue(choose(List.of(tracker), nowMs).isEmpty(), "answer to an earlier report");
        assertEquals(TOKENS, tracker.memoryClaim().report(nowMs * MS));
        assertTrue(choose(List.of(tracker), nowMs).isEmpty());
        tracker.memoryClaim().answered();
        assertEquals(Optional.of(tracker), choose(List.of(tracker), nowMs));
    }

    @Test
    void claimIsGivenUpIfOthersHaveTakenTheRoom() {
        RunnerLoadTracker tracker = scarce("a");
        tracker.memoryClaim().make(TOKENS, 0);
        tracker.memoryClaim().report(0);
        tracker.applySnapshot(new RunnerSnapshot("a", 1, Optional.empty(), 11, 70_000));
        tracker.memoryClaim().answered();
        assertTrue(choose(List.of(tracker), 1).isEmpty());
        assertFalse(tracker.memoryClaim().isOpen(MS));
    }

    @Test
    void claimEndsByItself() {
        MemoryClaim claim = new MemoryClaim();
        claim.make(TOKENS, 0);
        assertEquals(TOKENS, claim.report(MS));
        assertEquals(0, claim.report(1_000 * MS));
    }
}
