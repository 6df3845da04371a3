package io.persimmonstack.node.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Entries whose writers hold a lease in the store. Around an outage of the store a lease may expire although its holder
 * is alive, so an entry that is removed then is kept for a grace period in which its holder can write it again.
 * The caller supplies the monotonic time. Not thread-safe.
 *
 * @param <V> type of an entry
 */
final class OutageTolerantEntries<V> {
    private final Map<String, V> entries = new HashMap<>();
    private final Map<String, Long> removalNanos = new HashMap<>();
    private final long graceNanos;
    private Optional<Long> graceEndNanos = Optional.empty();

    private OutageTolerantEntries(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /**
     * Returns an empty collection.
     *
     * @param graceNanos time after an outage for which removed entries are kept, in nanoseconds
     * @param <V> type of an entry
     */
    static <V> OutageTolerantEntries<V> withGracePeriod(long graceNanos) {
        return new OutageTolerantEntries<>(graceNanos);
    }

    Map<String, V> entries() {
        return entries;
    }

    /** Reports that the store is unavailable, which starts or extends the grace period. */
    void storeUnavailable(long nowNanos) {
        graceEndNanos = Optional.of(nowNanos + graceNanos);
    }

    /** Adds or replaces an entry and cancels its removal; returns whether it is new or has changed. */
    boolean put(String key, V entry) {
        removalNanos.remove(key);
        return !entry.equals(entries.put(key, entry));
    }

    /**
     * Removes an entry, or schedules its removal for the end of the grace period if one is running.
     *
     * @return whether the entry was removed immediately
     */
    boolean remove(String key, long nowNanos) {
        if (!entries.containsKey(key)) {
            return false;
        }
        if (graceEndNanos.filter(endNanos -> nowNanos - endNanos < 0).isPresent()) {
            removalNanos.putIfAbsent(key, graceEndNanos.get());
            return false;
        }
        entries.remove(key);
        removalNanos.remove(key);
        return true;
    }

    /** Removes an entry whether or not a grace period is running; returns whether there was one. */
    boolean removeNow(String key) {
        removalNanos.remove(key);
        return entries.remove(key) != null;
    }

    /**
     * Removes all entries that are not listed, as {@link #remove} does.
     *
     * @return keys of the entries that were removed immediately
     */
    List<String> retain(Set<String> listed, long nowNanos) {
        List<String> missing =
                entries.keySet().stream().filter(key -> !listed.contains(key)).toList();
        return missing.stream().filter(key -> remove(key, nowNanos)).toList();
    }

    /** Removes the entries whose scheduled removal is due and returns their keys. */
    List<String> expire(long nowNanos) {
        List<String> expired = removalNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(key -> {
            entries.remove(key);
            removalNanos.remove(key);
        });
        return expired;
    }
}
