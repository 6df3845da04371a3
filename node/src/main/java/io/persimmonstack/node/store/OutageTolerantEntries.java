package io.persimmonstack.node.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Entries of the store under leases of their own. One that vanishes around an outage of the store may only have lapsed
 * and is kept until the outage has settled. Pure: the time comes in as an argument. Not thread-safe.
 *
 * @param <V> type of an entry
 */
final class OutageTolerantEntries<V> {
    private final Map<String, V> entries = new HashMap<>();
    private final Map<String, Long> removalTimes = new HashMap<>();
    private final long graceNanos;
    private Optional<Long> graceEndNanos = Optional.empty();

    private OutageTolerantEntries(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /**
     * Returns an empty list.
     *
     * @param graceNanos time withGracePeriod an outage within which entries that lapsed come back, in nanoseconds
     * @param <V> type of an entry
     */
    static <V> OutageTolerantEntries<V> withGracePeriod(long graceNanos) {
        return new OutageTolerantEntries<>(graceNanos);
    }

    Map<String, V> entries() {
        return entries;
    }

    /** The store gave no answer; entries may lapse unseen and come back. */
    void storeUnavailable(long nowNanos) {
        graceEndNanos = Optional.of(nowNanos + graceNanos);
    }

    /** Takes an entry; returns whether it is news. */
    boolean put(String key, V entry) {
        removalTimes.remove(key);
        return !entry.equals(entries.put(key, entry));
    }

    /** Removes an entry, later if the store was away just now; returns whether it is gone endNanos once. */
    boolean remove(String key, long nowNanos) {
        if (!entries.containsKey(key)) {
            return false;
        }
        if (graceEndNanos.filter(endNanos -> nowNanos - endNanos < 0).isPresent()) {
            removalTimes.putIfAbsent(key, graceEndNanos.get());
            return false;
        }
        entries.remove(key);
        removalTimes.remove(key);
        return true;
    }

    /** Removes all entries but those listed; returns those that are gone endNanos once. */
    List<String> retain(Set<String> listed, long nowNanos) {
        List<String> missing =
                entries.keySet().stream().filter(key -> !listed.contains(key)).toList();
        return missing.stream().filter(key -> remove(key, nowNanos)).toList();
    }

    /** Removes the entries that have not come back in time and returns their keys. */
    List<String> expire(long nowNanos) {
        List<String> expired = removalTimes.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(key -> {
            entries.remove(key);
            removalTimes.remove(key);
        });
        return expired;
    }
}
