package io.persimmonstack.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Names whose entries are still to be passed on, the least often sent first. */
final class GossipQueue {
    private static final int RETRANSMIT_FACTOR = 3;
    private final Map<String, Integer> transmissions = new LinkedHashMap<>();

    void enqueue(String name) {
        transmissions.put(name, 0);
    }

    void remove(String name) {
        transmissions.remove(name);
    }

    /** Returns up to {@code limit} names and counts them as sent; each is sent about 3 log2(members) times. */
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
