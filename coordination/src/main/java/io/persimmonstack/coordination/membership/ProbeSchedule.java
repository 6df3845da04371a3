package io.persimmonstack.coordination.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Schedules the members to probe. A pass contains each member of the node's own region once, in random order, and each
 * member of other regions with a given probability. Not thread-safe.
 */
final class ProbeSchedule<A> {
    private final Deque<String> pending = new ArrayDeque<>();
    private final RandomGenerator random;
    private final double crossRegionShare;

    ProbeSchedule(RandomGenerator random, double crossRegionShare) {
        this.random = random;
        this.crossRegionShare = crossRegionShare;
    }

    /**
     * Returns the next member to probe, or empty if there is none. Starts a new pass when the current one is finished.
     *
     * @param candidates members that may be probed, without the node itself
     * @param ownRegion region of the node
     */
    Optional<Member<A>> nextTarget(Collection<Member<A>> candidates, String ownRegion) {
        Map<String, Member<A>> byNode = new HashMap<>();
        candidates.forEach(member -> byNode.put(member.node(), member));
        Optional<Member<A>> target = pollKnown(byNode);
        if (target.isEmpty()) {
            refill(candidates, ownRegion);
            target = pollKnown(byNode);
        }
        return target;
    }

    /** Takes nodes from the pass until one of them is still a candidate. */
    private Optional<Member<A>> pollKnown(Map<String, Member<A>> byNode) {
        while (!pending.isEmpty()) {
            Member<A> member = byNode.get(pending.poll());
            if (member != null) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    /** Starts a pass; it contains all members of other regions if the own region has no other member. */
    private void refill(Collection<Member<A>> candidates, String ownRegion) {
        List<String> sameRegion = new ArrayList<>();
        List<String> otherRegions = new ArrayList<>();
        for (Member<A> member : candidates) {
            boolean local = member.locality().region().equals(ownRegion);
            (local ? sameRegion : otherRegions).add(member.node());
        }
        List<String> order = new ArrayList<>(sameRegion);
        otherRegions.stream()
                .filter(node -> sameRegion.isEmpty() || random.nextDouble() < crossRegionShare)
                .forEach(order::add);
        Collections.shuffle(order, java.util.Random.from(random));
        pending.addAll(order);
    }
}
