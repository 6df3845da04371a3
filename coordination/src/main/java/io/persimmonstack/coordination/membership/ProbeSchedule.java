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

/** Order in which members are probed: each once a pass in random order, other regions in a share of the passes. */
final class ProbeSchedule<A> {
    private final Deque<String> pending = new ArrayDeque<>();
    private final RandomGenerator random;
    private final double crossRegionShare;

    ProbeSchedule(RandomGenerator random, double crossRegionShare) {
        this.random = random;
        this.crossRegionShare = crossRegionShare;
    }

    /** Returns the next member to probe among {@code candidates}, which exclude the node itself. */
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

    private Optional<Member<A>> pollKnown(Map<String, Member<A>> byNode) {
        while (!pending.isEmpty()) {
            Member<A> member = byNode.get(pending.poll());
            if (member != null) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

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
