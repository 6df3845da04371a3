package io.persimmonstack.coordination;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Map with a limited number of entries; one that exceeds it drops its eldest entry. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    private BoundedMap(int maxEntries, boolean byUse) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, byUse);
        this.maxEntries = maxEntries;
    }

    /** Returns an empty map that drops the entry whose key was added first. */
    public static <K, V> BoundedMap<K, V> droppingFirstAdded(int maxEntries) {
        return new BoundedMap<>(maxEntries, false);
    }

    /** Returns an empty map that drops the entry that was least recently read or written. */
    public static <K, V> BoundedMap<K, V> droppingLeastUsed(int maxEntries) {
        return new BoundedMap<>(maxEntries, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
