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
final class SettledEntries<V> {
    private final Map<String, V> entries = new HashMap<>();
    private final Map<String, Long> keptUntil = new HashMap<>();
    private final long settleNanos;
    private Optional<Long> settledAtNanos = Optional.empty();

    private SettledEntries(long settleNanos) {
        this.settleNanos = settleNanos;
    }

    /**
     * Returns an empty list.
     *
     * @param settleNanos time after an outage within which entries that lapsed come back, in nanoseconds
     * @param <V> type of an entry
     */
    static <V> SettledEntries<V> after(long settleNanos) {
        return new SettledEntries<>(settleNanos);
    }

    Map<String, V> entries() {
        return entries;
    }

    /** The store gave no answer; entries may lapse unseen and come back. */
    void lost(long nowNanos) {
        settledAtNanos = Optional.of(nowNanos + settleNanos);
    }

    /** Takes an entry; returns whether it is news. */
    boolean put(String key, V entry) {
        keptUntil.remove(key);
        return !entry.equals(entries.put(key, entry));
    }

    /** Removes an entry, later if the store was away just now; returns whether it is gone at once. */
    boolean remove(String key, long nowNanos) {
        if (!entries.containsKey(key)) {
            return false;
        }
        if (settledAtNanos.filter(at -> nowNanos - at < 0).isPresent()) {
            keptUntil.putIfAbsent(key, settledAtNanos.get());
            return false;
        }
        entries.remove(key);
        keptUntil.remove(key);
        return true;
    }

    /** Removes all entries but those listed; returns those that are gone at once. */
    List<String> retain(Set<String> listed, long nowNanos) {
        List<String> missing =
                entries.keySet().stream().filter(key -> !listed.contains(key)).toList();
        return missing.stream().filter(key -> remove(key, nowNanos)).toList();
    }

    /** Removes the entries that have not come back in time and returns their keys. */
    List<String> expire(long nowNanos) {
        List<String> over = keptUntil.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        over.forEach(key -> {
            entries.remove(key);
            keptUntil.remove(key);
        });
        return over;
    }
}
