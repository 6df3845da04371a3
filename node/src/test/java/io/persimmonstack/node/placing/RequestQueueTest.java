package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Workspace;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards the order in which waiting requests are placed. */
class RequestQueueTest {
    private static final int TARGET_MS = 400;
    private final RequestQueue queue = new RequestQueue();

    private QueuedRequest add(QueuedRequests requests) {
        QueuedRequest queued = requests.build();
        queue.add(queued);
        return queued;
    }

    /** Offers room for a number of requests of any size to all groups and returns those that take it, in order. */
    private List<QueuedRequest> offer(int room, long nowMs) {
        return offer(room, nowMs, Long.MAX_VALUE);
    }

    private List<QueuedRequest> offer(int room, long nowMs, long maxTokens) {
        List<QueuedRequest> placed = new ArrayList<>();
        queue.offer(
                queue.allGroups(),
                TimeUnit.MILLISECONDS.toNanos(nowMs),
                queued -> {
                    if (queued.request().callerRequest().tokens().likelyTotal() > maxTokens) {
                        return false;
                    }
                    queue.recordPlaced(queued);
                    return placed.add(queued);
                },
                () -> placed.size() == room);
        return placed;
    }

    /** Each request precedes the next one by the criterion that it is named after, and follows it by all later ones. */
    @Test
    void criteriaApplyInTheirSequence() {
        Workspace urgent = QueuedRequests.workspace("urgent", 0, 1_000);
        Workspace other = QueuedRequests.workspace("other", 1, 1_000);
        Workspace heavy = QueuedRequests.workspace("heavy", 1, 1_000);
        add(QueuedRequests.received(0).of(heavy).onRoute(2, TARGET_MS));
        assertEquals(1, offer(1, 0).size());
        QueuedRequest young = add(QueuedRequests.received(960).of(heavy).onRoute(2, TARGET_MS));
        QueuedRequest late = add(QueuedRequests.received(100).of(other).onRoute(2, TARGET_MS));
        QueuedRequest old = add(QueuedRequests.received(950).of(heavy).onRoute(2, TARGET_MS));
        QueuedRequest light = add(QueuedRequests.received(970).of(other).onRoute(2, TARGET_MS));
        QueuedRequest rest =
                add(QueuedRequests.received(980).of(heavy).onRoute(2, TARGET_MS).atVersion("v1"));
        QueuedRequest route = add(QueuedRequests.received(990).of(heavy).onRoute(1, TARGET_MS));
        QueuedRequest workspace = add(QueuedRequests.received(999).of(urgent).onRoute(9, TARGET_MS));
        assertEquals(List.of(workspace, route, rest, light, old, young, late), offer(10, 1_000));
    }

    /** Guards against a change for deployments without workspaces and targets. */
    @Test
    void withoutWorkspacesAndTargetsPriorityRestsAndAgeDecide() {
        QueuedRequest youngLow = add(QueuedRequests.received(30).onRoute(2, 0).forModel("m2"));
        QueuedRequest oldLow = add(QueuedRequests.received(10).onRoute(2, 0).withTokens(9_000));
        QueuedRequest rest = add(QueuedRequests.received(40).onRoute(2, 0).atVersion("v1"));
        QueuedRequest youngHigh = add(QueuedRequests.received(50).onRoute(1, 0).withTokens(9_000));
        QueuedRequest oldHigh = add(QueuedRequests.received(20).onRoute(1, 0).forModel("m2"));
        assertEquals(List.of(oldHigh, youngHigh, rest, oldLow, youngLow), offer(10, 60_000));
    }

    @Test
    void requestBecomesLateWhileItWaits() {
        QueuedRequest first = add(QueuedRequests.received(0).onRoute(1, TARGET_MS));
        QueuedRequest second = add(QueuedRequests.received(100).onRoute(1, TARGET_MS));
        QueuedRequest third = add(QueuedRequests.received(200).onRoute(1, 2 * TARGET_MS));
        assertEquals(List.of(first), offer(1, TARGET_MS));
        add(QueuedRequests.received(0).onRoute(1, TARGET_MS));
        assertEquals(List.of(second), offer(1, TARGET_MS + 1));
        assertEquals(List.of(third), offer(1, TARGET_MS + 101));
        assertEquals(1, offer(1, 2_000).size());
    }

    /** Late requests wait as long as others can be on time, and are served as soon as none is left. */
    @Test
    void lateRequestIsServedWhenNothingOnTimeWaits() {
        Workspace workspace = QueuedRequests.workspace("w", 1, 1_000);
        QueuedRequest late = add(QueuedRequests.received(0).of(workspace).onRoute(1, TARGET_MS));
        for (int ms = 1_000; ms < 1_100; ms++) {
            QueuedRequest onTime = add(QueuedRequests.received(ms).of(workspace).onRoute(1, TARGET_MS));
            assertEquals(List.of(onTime), offer(1, ms));
        }
        assertEquals(List.of(late), offer(1, 1_100));
    }

    @Test
    void sharesAreInTokensAndInProportionToCaps() {
        Workspace small = QueuedRequests.workspace("small", 1, 1_000);
        Workspace large = QueuedRequests.workspace("large", 1, 3_000);
        Workspace chunky = QueuedRequests.workspace("chunky", 1, 1_000);
        for (int i = 0; i < 400; i++) {
            add(QueuedRequests.received(i).of(small).withTokens(500));
            add(QueuedRequests.received(i).of(large).withTokens(500));
            add(QueuedRequests.received(i).of(chunky).withTokens(2_000));
        }
        List<QueuedRequest> placed = offer(340, 1_000);
        double perWeight = tokens(placed, small) / 1_000.0;
        assertEquals(perWeight, tokens(placed, large) / 3_000.0, 2);
        assertEquals(perWeight, tokens(placed, chunky) / 1_000.0, 2);
        assertTrue(perWeight > 20, "tokens per weight: " + perWeight);
    }

    private static long tokens(List<QueuedRequest> placed, Workspace workspace) {
        return placed.stream()
                .filter(queued -> queued.request().workspace().orElseThrow().equals(workspace))
                .mapToLong(queued -> queued.request().callerRequest().tokens().likelyTotal())
                .sum();
    }

    /** Guards against a workspace that, after hours without requests, is served alone until it has caught up. */
    @Test
    void idleWorkspaceHasNoClaimToWhatItDidNotUse() {
        Workspace busy = QueuedRequests.workspace("busy", 1, 1_000);
        Workspace idle = QueuedRequests.workspace("idle", 1, 1_000);
        for (int i = 0; i < 1_000; i++) {
            add(QueuedRequests.received(i).of(busy));
            assertEquals(1, offer(1, i).size());
        }
        for (int i = 0; i < 20; i++) {
            add(QueuedRequests.received(1_000 + i).of(busy));
            add(QueuedRequests.received(1_000 + i).of(idle));
        }
        List<QueuedRequest> placed = offer(20, 2_000);
        assertEquals(10_000, tokens(placed, idle), 1_000);
    }

    /** Guards against large requests that keep smaller ones from the room that they cannot use themselves. */
    @Test
    void smallerRequestTakesRoomThatIsTooSmallForTheFirst() {
        QueuedRequest large = add(QueuedRequests.received(0).withTokens(5_000));
        QueuedRequest small = add(QueuedRequests.received(1).withTokens(100));
        assertEquals(List.of(small), offer(2, 10, 1_000));
        assertEquals(List.of(large), offer(2, 10));
        assertEquals(0, queue.all().size());
    }

    @Test
    void removedRequestIsNotOffered() {
        QueuedRequest first = add(QueuedRequests.received(0));
        QueuedRequest second = add(QueuedRequests.received(1).without("e1"));
        queue.remove(first);
        queue.remove(first);
        assertEquals(List.of(second), offer(2, 10));
        queue.remove(second);
        assertEquals(0, queue.all().size());
        assertEquals(0, queue.allGroups().size());
    }

    /** Guards against a surge that is served before all less urgent workspaces, and against one that loses its rank. */
    @Test
    void onlyRequestsBeyondTheUsualRateCompeteWithLessUrgentWorkspaces() {
        Workspace urgent = QueuedRequests.workspace("urgent", 0, 1_000);
        Workspace other = QueuedRequests.workspace("other", 1, 1_000);
        for (int ms = 0; ms < 60_000; ms += 1_000) {
            add(QueuedRequests.received(ms).of(urgent));
            add(QueuedRequests.received(ms).of(other));
            assertEquals(2, offer(2, ms).size());
        }
        for (int i = 0; i < 20; i++) {
            add(QueuedRequests.received(60_000).of(urgent));
            add(QueuedRequests.received(60_000).of(other));
        }
        List<QueuedRequest> placed = offer(26, 60_000);
        long usual = placed.stream()
                .takeWhile(queued -> queued.request().workspace().orElseThrow().equals(urgent))
                .count();
        assertTrue(usual >= 5 && usual <= 9, "requests before others: " + usual);
        assertTrue(tokens(placed, other) >= 11_000, "tokens of the other workspace: " + tokens(placed, other));
    }
}
