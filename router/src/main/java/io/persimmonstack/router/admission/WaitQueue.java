package io.persimmonstack.router.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Bounded queue of waiting requests. The most urgent priority comes first; within a priority, callers take turns; the
 * requests of one caller are ordered by deadline. Not thread-safe.
 */
final class WaitQueue {
    private static final Comparator<QueuedRequest> BY_DEADLINE =
            Comparator.comparingLong(QueuedRequest::deadlineNanos).thenComparingLong(QueuedRequest::arrivalNumber);

    /** Waiting requests of one priority. */
    private static final class PriorityLevel {
        private final Map<String, TreeSet<QueuedRequest>> byCaller = new HashMap<>();
        private final Deque<String> callerRotation = new ArrayDeque<>();

        void add(QueuedRequest request) {
            byCaller.computeIfAbsent(request.caller(), caller -> {
                        callerRotation.addLast(caller);
                        return new TreeSet<>(BY_DEADLINE);
                    })
                    .add(request);
        }

        QueuedRequest head() {
            return byCaller.get(callerRotation.peekFirst()).first();
        }

        /** Moves the caller whose turn it is to the end of the rotation. */
        void rotateCallers() {
            callerRotation.addLast(callerRotation.removeFirst());
        }

        boolean remove(QueuedRequest request) {
            TreeSet<QueuedRequest> callerRequests = byCaller.get(request.caller());
            if (callerRequests == null || !callerRequests.remove(request)) {
                return false;
            }
            if (callerRequests.isEmpty()) {
                byCaller.remove(request.caller());
                callerRotation.remove(request.caller());
            }
            return true;
        }

        /** Returns the request with the latest deadline of the caller that has the most requests waiting. */
        QueuedRequest evictionCandidate() {
            return byCaller.values().stream()
                    .max(Comparator.comparingInt(TreeSet::size))
                    .orElseThrow()
                    .last();
        }

        int countWaiting(String caller) {
            TreeSet<QueuedRequest> callerRequests = byCaller.get(caller);
            return callerRequests == null ? 0 : callerRequests.size();
        }
    }

    private final int capacity;
    private final TreeMap<Integer, PriorityLevel> levels = new TreeMap<>();
    private int size;

    private WaitQueue(int capacity) {
        this.capacity = capacity;
    }

    static WaitQueue of(int capacity) {
        return new WaitQueue(capacity);
    }

    int size() {
        return size;
    }

    /** Returns how many requests of the given or a more urgent priority are waiting. */
    int countAtOrAbove(int priority) {
        int count = 0;
        for (PriorityLevel level : levels.headMap(priority, true).values()) {
            for (TreeSet<QueuedRequest> callerRequests : level.byCaller.values()) {
                count += callerRequests.size();
            }
        }
        return count;
    }

    /**
     * Adds a request. If the queue is full, the request evicted for it is the one with the latest deadline of the
     * caller with the most requests at the least urgent priority. If the new request does not outrank that one, it is
     * rejected.
     *
     * @return the evicted or rejected request, empty if the queue had room
     */
    Optional<QueuedRequest> offer(QueuedRequest request) {
        if (size < capacity) {
            add(request);
            return Optional.empty();
        }
        QueuedRequest candidate = levels.lastEntry().getValue().evictionCandidate();
        if (!outranks(request, candidate)) {
            return Optional.of(request);
        }
        remove(candidate);
        add(request);
        return Optional.of(candidate);
    }

    /**
     * Returns whether the request is more urgent than the candidate, or equally urgent and from a caller that would
     * still have fewer requests waiting than the candidate's caller.
     */
    private boolean outranks(QueuedRequest request, QueuedRequest candidate) {
        if (request.priority() != candidate.priority()) {
            return request.priority() < candidate.priority();
        }
        PriorityLevel level = levels.get(candidate.priority());
        return level.countWaiting(request.caller()) + 1 < level.countWaiting(candidate.caller());
    }

    private void add(QueuedRequest request) {
        levels.computeIfAbsent(request.priority(), ignored -> new PriorityLevel())
                .add(request);
        size++;
    }

    /** Returns the request to admit next. */
    Optional<QueuedRequest> head() {
        return levels.isEmpty()
                ? Optional.empty()
                : Optional.of(levels.firstEntry().getValue().head());
    }

    /** Removes the head and passes the turn to the next caller of its priority. */
    void removeHead() {
        PriorityLevel level = levels.firstEntry().getValue();
        QueuedRequest head = level.head();
        level.rotateCallers();
        remove(head);
    }

    /** Removes a request; returns false if it is not in the queue. */
    boolean remove(QueuedRequest request) {
        PriorityLevel level = levels.get(request.priority());
        if (level == null || !level.remove(request)) {
            return false;
        }
        size--;
        if (level.byCaller.isEmpty()) {
            levels.remove(request.priority());
        }
        return true;
    }

    /** Removes and returns all requests. */
    List<QueuedRequest> clear() {
        List<QueuedRequest> all = new ArrayList<>();
        levels.values().forEach(level -> level.byCaller.values().forEach(all::addAll));
        levels.clear();
        size = 0;
        return all;
    }
}
