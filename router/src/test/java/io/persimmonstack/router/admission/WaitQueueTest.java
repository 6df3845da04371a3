package io.persimmonstack.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.router.request.Work;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
    private static final Work WORK = new Work.ServiceCall("bay", "/");

    private static QueuedRequest queued(String caller, int priority, long deadline) {
        return QueuedRequest.of(WORK, caller, priority, deadline);
    }

    private static List<String> drained(WaitQueue queue) {
        List<String> order = new ArrayList<>();
        for (Optional<QueuedRequest> head = queue.head(); head.isPresent(); head = queue.head()) {
            order.add(head.get().caller() + head.get().priority() + "@"
                    + head.get().deadlineNanos());
            queue.removeHead();
        }
        return order;
    }

    @Test
    void ordersByPriorityThenCallerRotationThenDeadline() {
        WaitQueue queue = WaitQueue.of(10);
        queue.offer(queued("a", 5, 30));
        queue.offer(queued("a", 5, 10));
        queue.offer(queued("a", 5, 20));
        queue.offer(queued("b", 5, 99));
        queue.offer(queued("c", 1, 500));
        assertEquals(List.of("c1@500", "a5@10", "b5@99", "a5@20", "a5@30"), drained(queue));
    }

    @Test
    void fullQueueEvictsAtTheLowestPriorityFromTheCallerWithMostRequests() {
        WaitQueue queue = WaitQueue.of(3);
        QueuedRequest last = queued("a", 7, 30);
        queue.offer(queued("a", 7, 10));
        queue.offer(last);
        queue.offer(queued("b", 3, 10));
        assertEquals(Optional.of(last), queue.offer(queued("b", 3, 20)));
        QueuedRequest leastUrgent = queued("c", 8, 1);
        assertEquals(Optional.of(leastUrgent), queue.offer(leastUrgent));
        assertEquals(3, queue.size());
    }

    @Test
    void requestOfEqualPriorityDisplacesOnlyCallersWithMoreQueuedRequests() {
        WaitQueue queue = WaitQueue.of(3);
        QueuedRequest last = queued("a", 5, 3);
        queue.offer(queued("a", 5, 1));
        queue.offer(queued("a", 5, 2));
        queue.offer(last);
        assertEquals(Optional.of(last), queue.offer(queued("b", 5, 9)));
        QueuedRequest second = queued("b", 5, 10);
        assertEquals(Optional.of(second), queue.offer(second));
    }

    @Test
    void sizeAndCountsStayConsistentUnderRandomOperations() {
        Random random = new Random(7);
        WaitQueue queue = WaitQueue.of(20);
        List<QueuedRequest> expected = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            QueuedRequest added = queued("c" + random.nextInt(4), random.nextInt(10), random.nextInt(50));
            expected.add(added);
            queue.offer(added).ifPresent(expected::remove);
            if (random.nextInt(3) == 0) {
                QueuedRequest removed = expected.remove(random.nextInt(expected.size()));
                assertTrue(queue.remove(removed));
                assertFalse(queue.remove(removed));
            }
            assertEquals(expected.size(), queue.size());
            assertEquals(expected.size(), queue.countAtOrAbove(9));
            int best = expected.stream().mapToInt(QueuedRequest::priority).min().orElse(0);
            queue.head().ifPresent(head -> assertEquals(best, head.priority()));
        }
        assertEquals(expected.size(), queue.clear().size());
        assertEquals(0, queue.size());
    }
}
