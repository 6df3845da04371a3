package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that the index of the queue loses or offers out of order: random requests come, leave and are
 * placed, and each offer takes what a search through a plain list of all waiting requests finds.
 */
class RequestQueuePropertiesTest {
    private static final int STEPS = 4_000;
    private static final int WORKSPACES = 5;
    private static final int MAX_TARGET_MS = 600;

    private final RequestQueue queue = new RequestQueue();
    private final List<QueuedRequest> waiting = new ArrayList<>();
    private final FairShares shares = new FairShares();

    private static QueuedRequest randomRequest(Random random, long nowMs) {
        QueuedRequests request = QueuedRequests.received(nowMs - random.nextInt(MAX_TARGET_MS))
                .onRoute(random.nextInt(2), random.nextInt(3) == 0 ? 0 : random.nextInt(MAX_TARGET_MS))
                .withTokens(random.nextInt(1, 4_000))
                .forModel("m" + random.nextInt(4));
        if (random.nextInt(5) > 0) {
            int owner = random.nextInt(WORKSPACES);
            request.of(QueuedRequests.workspace("w" + owner, owner % 2, 1_000 * (1 + owner)));
        }
        if (random.nextInt(5) == 0) {
            request.atVersion("v" + random.nextInt(2));
        }
        if (random.nextInt(5) == 0) {
            request.without("e" + random.nextInt(2));
        }
        return request.build();
    }

    private Comparator<QueuedRequest> order(long nowNanos) {
        return Comparator.comparing(QueuedRequest::rank)
                .thenComparing(QueuedRequest::isNew)
                .thenComparing(queued -> queued.isLate(nowNanos))
                .thenComparingDouble(queued -> shares.position(queued))
                .thenComparingLong(queued -> queued.request().receivedNanos())
                .thenComparingLong(QueuedRequest::sequence);
    }

    private void add(QueuedRequest queued) {
        queue.add(queued);
        shares.queued(queued);
        waiting.add(queued);
    }

    private void removeFromModel(QueuedRequest queued) {
        shares.dequeued(queued);
        waiting.remove(queued);
    }

    /** Offers a number of places and compares each request that takes one with the first of the list. */
    private void offerAndCompare(int places, long nowMs) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
        int[] left = {places};
        queue.offer(
                queue.allGroups(),
                nowNanos,
                queued -> {
                    QueuedRequest expected =
                            waiting.stream().min(order(nowNanos)).orElseThrow();
                    assertEquals(expected.sequence(), queued.sequence());
                    queue.recordPlaced(queued);
                    shares.placed(queued);
                    removeFromModel(queued);
                    left[0]--;
                    return true;
                },
                () -> left[0] == 0);
        assertEquals(waiting.size(), queue.all().size());
        assertEquals(Math.max(0, left[0]), waiting.isEmpty() ? left[0] : 0);
    }

    /** Offers places that nothing fits, which must leave the queue as it is. */
    private void offerInVain(long nowMs) {
        queue.offer(queue.allGroups(), TimeUnit.MILLISECONDS.toNanos(nowMs), queued -> false, () -> false);
        assertEquals(waiting.size(), queue.all().size());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void offersTakeWhatASearchThroughAllFinds(long seed) {
        Random random = new Random(seed);
        long nowMs = 10_000;
        for (int step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(20);
            switch (random.nextInt(8)) {
                case 0 -> offerAndCompare(random.nextInt(6), nowMs);
                case 1 -> offerInVain(nowMs);
                case 2 -> {
                    if (!waiting.isEmpty()) {
                        QueuedRequest gone = waiting.get(random.nextInt(waiting.size()));
                        queue.remove(gone);
                        removeFromModel(gone);
                    }
                }
                case 3, 4, 5 -> offerAndCompare(1, nowMs);
                default -> {
                    for (int i = 0; i < 3; i++) {
                        add(randomRequest(random, nowMs));
                    }
                }
            }
        }
        offerAndCompare(Integer.MAX_VALUE, nowMs);
        assertEquals(0, queue.all().size());
        assertEquals(0, queue.allGroups().size());
    }
}
