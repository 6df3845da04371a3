package io.persimmonstack.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Names whose entries still have to be disseminated, the least often transmitted first. Not thread-safe.
 */
final class GossipQueue {
    /** Transmissions of an entry per doubling of the number of members. */
    private static final int RETRANSMIT_FACTOR = 3;

    private final Map<String, Integer> transmissions = new LinkedHashMap<>();

    /** Adds a name, or starts its transmissions again if its entry has changed. */
    void enqueue(String name) {
        transmissions.put(name, 0);
    }

    void remove(String name) {
        transmissions.remove(name);
    }

    /**
     * Returns up to {@code limit} names and counts a transmission of each. A name leaves the queue after about
     * 3 log2(memberCount) transmissions.
     */
    List<String> nextBatch(int limit, int memberCount) {
        List<String> names = new ArrayList<>(transmissions.keySet());
        names.sort(Comparator.comparing(transmissions::get));
        List<String> batch = names.subList(0, Math.min(limit, names.size()));
        int maxTransmissions =
                RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount)));
        for (String name : batch) {
            transmissions.computeIfPresent(name, (key, count) -> count + 1 >= maxTransmissions ? null : count + 1);
        }
        return List.copyOf(batch);
    }
}
