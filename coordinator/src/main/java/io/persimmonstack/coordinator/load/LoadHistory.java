package io.persimmonstack.coordinator.load;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the last request, refusal and unload of each model and adapter on this node, for explanations to operators.
 * Holds at most {@value #MAX_ENTRIES} entries and evicts the least recently updated ones.
 */
public final class LoadHistory {
    private static final int MAX_ENTRIES = 2_000;

    /**
     * One request, refusal or unload.
     *
     * @param atMs wall-clock time
     * @param detail where it took place and why
     */
    public record Occurrence(long atMs, String detail) {}

    /**
     * Last occurrences for a model or adapter.
     *
     * @param key model or adapter
     * @param lastRequested last load request of a router
     * @param lastRefused last refused load request
     * @param lastUnloaded last unload
     */
    public record Entry(
            LoadKey key,
            Optional<Occurrence> lastRequested,
            Optional<Occurrence> lastRefused,
            Optional<Occurrence> lastUnloaded) {}

    private final Map<LoadKey, Entry> entries = new LinkedHashMap<>();

    private LoadHistory() {}

    /** Returns an empty history. */
    public static LoadHistory create() {
        return new LoadHistory();
    }

    /** Records that a router requested a load. */
    public synchronized void recordRequested(LoadKey key, Occurrence occurrence) {
        Entry previous = entryOrEmpty(key);
        put(new Entry(key, Optional.of(occurrence), previous.lastRefused(), previous.lastUnloaded()));
    }

    /** Records that a load request was refused. */
    public synchronized void recordRefused(LoadKey key, Occurrence occurrence) {
        Entry previous = entryOrEmpty(key);
        put(new Entry(key, previous.lastRequested(), Optional.of(occurrence), previous.lastUnloaded()));
    }

    /** Records that a model or adapter was unloaded. */
    public synchronized void recordUnloaded(LoadKey key, Occurrence occurrence) {
        Entry previous = entryOrEmpty(key);
        put(new Entry(key, previous.lastRequested(), previous.lastRefused(), Optional.of(occurrence)));
    }

    /** Returns the entries of the given keys, without those that have none. */
    public synchronized List<Entry> entriesFor(Collection<LoadKey> keys) {
        return keys.stream().map(entries::get).filter(entry -> entry != null).toList();
    }

    private Entry entryOrEmpty(LoadKey key) {
        return entries.getOrDefault(key, new Entry(key, Optional.empty(), Optional.empty(), Optional.empty()));
    }

    private void put(Entry entry) {
        entries.remove(entry.key());
        entries.put(entry.key(), entry);
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }
}
