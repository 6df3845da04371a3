package io.persimmonstack.node.placing;

import java.util.Comparator;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Waiting requests of one group, priority and workspace: those that can still be on time, oldest first, then the late
 * ones, oldest first. Each operation takes a time logarithmic in the number of requests.
 */
final class WaitingLane {
    private static final Comparator<QueuedRequest> BY_AGE = Comparator.comparingLong(
                    (QueuedRequest queued) -> queued.request().receivedNanos())
            .thenComparingLong(QueuedRequest::sequence);
    private static final Comparator<QueuedRequest> BY_TARGET = Comparator.comparingLong(
                    (QueuedRequest queued) -> queued.onTimeUntilNanos().orElse(Long.MAX_VALUE))
            .thenComparingLong(QueuedRequest::sequence);

    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(BY_AGE);
    /** The same requests, without those that have no target. */
    private final TreeSet<QueuedRequest> onTimeByTarget = new TreeSet<>(BY_TARGET);

    private final TreeSet<QueuedRequest> late = new TreeSet<>(BY_AGE);

    /** Adds a request; it is found to be late, if it is, when the first one is asked for. */
    void add(QueuedRequest queued) {
        onTime.add(queued);
        if (queued.onTimeUntilNanos().isPresent()) {
            onTimeByTarget.add(queued);
        }
    }

    void remove(QueuedRequest queued) {
        onTime.remove(queued);
        onTimeByTarget.remove(queued);
        late.remove(queued);
    }

    boolean isEmpty() {
        return onTime.isEmpty() && late.isEmpty();
    }

    /** Returns the first request, empty if there is none. */
    Optional<QueuedRequest> first(long nowNanos) {
        while (!onTimeByTarget.isEmpty() && onTimeByTarget.first().isLate(nowNanos)) {
            QueuedRequest overdue = onTimeByTarget.removeFirst();
            onTime.remove(overdue);
            late.add(overdue);
        }
        SortedSet<QueuedRequest> next = onTime.isEmpty() ? late : onTime;
        return next.isEmpty() ? Optional.empty() : Optional.of(next.first());
    }
}
