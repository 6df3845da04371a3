package io.persimmonstack.coordinator.load;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What this node last did about each model and adapter, for operators; the longest untouched are forgotten. */
public final class LoadHistory {
    private static final int MAX_ENTRIES = 2_000;

    /**
     * Something that happened.
     *
     * @param atMs wall-clock time
     * @param detail where and why
     */
    public record Occurrence(long atMs, String detail) {}

    /**
     * What happened last to a model or adapter.
     *
     * @param key the model or adapter
     * @param asked when a router last asked for it
     * @param refused when a load of it was last refused
     * @param unloaded when it was last unloaded
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

    /** Notes that a router asked for a load. */
    public void recordRequested(LoadKey key, Occurrence occurrence) {
        Entry previous = entryOrEmpty(key);
        put(new Entry(key, Optional.of(occurrence), previous.lastRefused(), previous.lastUnloaded()));
    }

    /** Notes that a load was refused. */
    public void recordRefused(LoadKey key, Occurrence occurrence) {
        Entry previous = entryOrEmpty(key);
        put(new Entry(key, previous.lastRequested(), Optional.of(occurrence), previous.lastUnloaded()));
    }

    /** Notes that a model or adapter was unloaded. */
    public void recordUnloaded(LoadKey key, Occurrence occurrence) {
        Entry previous = entryOrEmpty(key);
        put(new Entry(key, previous.lastRequested(), previous.lastRefused(), Optional.of(occurrence)));
    }

    /** Returns the entries of those keys that have one. */
    public synchronized List<Entry> entriesFor(Collection<LoadKey> keys) {
        return keys.stream().map(entries::get).filter(entry -> entry != null).toList();
    }

    private synchronized Entry entryOrEmpty(LoadKey key) {
        return entries.getOrDefault(key, new Entry(key, Optional.empty(), Optional.empty(), Optional.empty()));
    }

    private synchronized void put(Entry entry) {
        entries.remove(entry.key());
        entries.put(entry.key(), entry);
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }
}
