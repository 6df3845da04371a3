package io.persimmonstack.coordination.claim;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** LRU cache of claim outcomes, bounded in bytes. Evicted outcomes are read back from the log when needed. */
final class OutcomeCache {
    private static final int MAX_CACHED_BYTES = 256 * 1024;
    /** Estimated memory of an entry besides its body. */
    private static final int ENTRY_OVERHEAD_BYTES = 256;

    private final LinkedHashMap<String, ClaimOutcome> outcomes = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedBytes;

    Optional<ClaimOutcome> get(String key) {
        return Optional.ofNullable(outcomes.get(key));
    }

    /** Adds an outcome as the most recently used and evicts others until the cache is within its limit. */
    void put(String key, ClaimOutcome outcome) {
        remove(key);
        outcomes.put(key, outcome);
        cachedBytes += sizeBytes(outcome);
        var leastRecentlyUsed = outcomes.entrySet().iterator();
        while (cachedBytes > MAX_CACHED_BYTES) {
            Map.Entry<String, ClaimOutcome> evicted = leastRecentlyUsed.next();
            cachedBytes -= sizeBytes(evicted.getValue());
            leastRecentlyUsed.remove();
        }
    }

    void remove(String key) {
        ClaimOutcome removed = outcomes.remove(key);
        cachedBytes -= removed == null ? 0 : sizeBytes(removed);
    }

    private static int sizeBytes(ClaimOutcome outcome) {
        return ENTRY_OVERHEAD_BYTES + outcome.bodyBytes();
    }
}
