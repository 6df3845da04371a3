package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Requests that wait for a runner, in the order in which they are to be placed, indexed by what a runner must have to
 * serve them. The cost of offering them capacity grows with the number of requests that are placed and of groups and
 * workspaces that compete, not with the number of requests that wait. Callers pass the time. Not thread-safe; guarded
 * by the lock of {@link Placer}.
 */
final class RequestQueue {
    /**
     * Requests of a group that are passed over before the rest of it is left to wait. A request that needs more memory
     * than is free must not keep all smaller ones waiting; a search through the whole group would cost too much.
     */
    private static final int MAX_PASSED_OVER = 8;

    private final Map<WaitingGroup.Target, Map<RunnerFilter, WaitingGroup>> groups = new HashMap<>();
    private final Set<QueuedRequest> all = new LinkedHashSet<>();
    private final FairShares shares = new FairShares();
    private final UsualRates usualRates = new UsualRates();
    private long nextSequence;
    private long operations;

    /** Group in an offer, with its first request when it was last looked at. */
    private static final class Contender implements Comparable<Contender> {
        private final WaitingGroup group;
        private WaitingGroup.Head head;
        private int passedOver;
        /** Tokens from which on requests of the group have been found not to fit. */
        private long unfitTokens = Long.MAX_VALUE;

        private Contender(WaitingGroup group, WaitingGroup.Head head) {
            this.group = group;
            this.head = head;
        }

        @Override
        public int compareTo(Contender other) {
            return head.compareTo(other.head);
        }
    }

    void add(QueuedRequest queued) {
        queued.setSequence(nextSequence++);
        all.add(queued);
        if (queued.isFirstTry() && !usualRates.countArrival(queued.request())) {
            queued.setRank(shares.leastUrgent(queued.request()));
        }
        shares.queued(queued);
        insert(queued);
    }

    private void insert(QueuedRequest queued) {
        groups.computeIfAbsent(WaitingGroup.Target.of(queued.request()), target -> new HashMap<>())
                .computeIfAbsent(queued.runnerFilter(), filter -> new WaitingGroup())
                .add(queued);
    }

    /** Removes a request; one that does not wait is ignored. */
    void remove(QueuedRequest queued) {
        if (!all.remove(queued)) {
            return;
        }
        shares.dequeued(queued);
        WaitingGroup.Target target = WaitingGroup.Target.of(queued.request());
        Map<RunnerFilter, WaitingGroup> byFilter = groups.get(target);
        WaitingGroup group = byFilter.get(queued.runnerFilter());
        group.remove(queued);
        if (group.isEmpty()) {
            byFilter.remove(queued.runnerFilter());
            if (byFilter.isEmpty()) {
                groups.remove(target);
            }
        }
    }

    /** Returns all waiting requests, in the order in which they began to wait. */
    Collection<QueuedRequest> all() {
        return Collections.unmodifiableCollection(all);
    }

    /** Charges the workspace of a request that is placed, before the request is removed. */
    void recordPlaced(QueuedRequest queued) {
        shares.placed(queued);
    }

    /** Returns what waits; takes a time that grows with the length of the queue. */
    WaitingCounts counts(long nowNanos) {
        int late = (int) all.stream().filter(queued -> queued.isLate(nowNanos)).count();
        int workspaces = (int) all.stream()
                .map(queued -> FairShares.shareName(queued.request()))
                .distinct()
                .count();
        return new WaitingCounts(late, workspaces, operations);
    }

    /** Returns all groups. */
    List<WaitingGroup> allGroups() {
        return groups.values().stream()
                .flatMap(byFilter -> byFilter.values().stream())
                .toList();
    }

    /** Returns the group of a waiting request. */
    List<WaitingGroup> groupOf(QueuedRequest queued) {
        return List.of(groups.get(WaitingGroup.Target.of(queued.request())).get(queued.runnerFilter()));
    }

    /** Returns the groups that a runner can serve which holds the given models. */
    List<WaitingGroup> groupsFor(Runner runner, List<HeldModel> models) {
        List<WaitingGroup> servable = new ArrayList<>();
        for (WaitingGroup.Target target : WaitingGroup.Target.served(runner.service(), models)) {
            groups.getOrDefault(target, Map.of()).forEach((filter, group) -> {
                if (filter.allows(runner)) {
                    servable.add(group);
                }
            });
        }
        return servable;
    }

    /**
     * Offers capacity to the requests of some groups, in order, and removes those that take it.
     *
     * @param offered groups that the capacity can serve
     * @param nowNanos monotonic time
     * @param place places a request and charges its workspace, or returns false if there is no room for it
     * @param exhausted returns whether no capacity is left
     */
    void offer(
            Collection<WaitingGroup> offered,
            long nowNanos,
            Predicate<QueuedRequest> place,
            BooleanSupplier exhausted) {
        PriorityQueue<Contender> contenders = new PriorityQueue<>();
        for (WaitingGroup group : offered) {
            head(group, nowNanos).ifPresent(head -> contenders.add(new Contender(group, head)));
        }
        List<QueuedRequest> setAside = new ArrayList<>();
        while (!contenders.isEmpty() && !exhausted.getAsBoolean()) {
            Contender first = contenders.poll();
            // Placing a request of another group may have moved the workspace of this one backwards.
            WaitingGroup.Head current = head(first.group, nowNanos).orElseThrow();
            if (current.compareTo(first.head) > 0) {
                first.head = current;
                contenders.add(first);
                continue;
            }
            QueuedRequest queued = current.queued();
            if (fits(first, queued) && test(place, queued)) {
                remove(queued);
            } else {
                first.unfitTokens = Math.min(first.unfitTokens, tokens(queued));
                first.group.remove(queued);
                setAside.add(queued);
                first.passedOver++;
            }
            if (first.passedOver < MAX_PASSED_OVER) {
                head(first.group, nowNanos).ifPresent(head -> {
                    first.head = head;
                    contenders.add(first);
                });
            }
        }
        setAside.forEach(this::insert);
    }

    /** Returns whether a request may fit: one that needs as much as another of its group that did not fit does not. */
    private static boolean fits(Contender contender, QueuedRequest queued) {
        return tokens(queued) < contender.unfitTokens;
    }

    private boolean test(Predicate<QueuedRequest> place, QueuedRequest queued) {
        operations++;
        return place.test(queued);
    }

    private static long tokens(QueuedRequest queued) {
        return queued.request().callerRequest().tokens().likelyTotal();
    }

    private Optional<WaitingGroup.Head> head(WaitingGroup group, long nowNanos) {
        operations += group.laneCount();
        return group.head(shares, nowNanos);
    }
}
