package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a node knows of a runner when its process is replaced. */
class RunnerLoadTrackerTest {
    private static final int REQUESTS_ELSEWHERE = 4;
    private static final long TOKENS_ELSEWHERE = 400;
    private static final RunnerSnapshot SNAPSHOT =
            new RunnerSnapshot("r1", 1, Optional.empty(), REQUESTS_ELSEWHERE, TOKENS_ELSEWHERE);

    private static Runner runner(long startedMs) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner("r1", startedMs, "v1", "s", address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    @Test
    void restartedRunnerHasNoRequestsOfOtherNodes() {
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner(1));
        tracker.applySnapshot(SNAPSHOT);
        tracker.updateRunner(runner(2));
        assertEquals(0, tracker.totalRequests());
        assertEquals(0, tracker.totalTokens());
    }

    @Test
    void changedEntryOfTheSameProcessKeepsTheRequestsOfOtherNodes() {
        RunnerLoadTracker tracker = new RunnerLoadTracker(runner(1));
        tracker.applySnapshot(SNAPSHOT);
        tracker.updateRunner(runner(1));
        assertEquals(REQUESTS_ELSEWHERE, tracker.totalRequests());
        assertEquals(TOKENS_ELSEWHERE, tracker.totalTokens());
    }
}
