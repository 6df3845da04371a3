package io.persimmonstack.coordinator.runner;

import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.load.DemandTracker;
import io.persimmonstack.coordinator.load.LoadKey;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Last use of each model and adapter of one runner, from which their idle times follow. Thread-safe. */
final class ModelUsage {
    private static final long NANOS_PER_MS = 1_000_000L;
    private final Map<LoadKey, Long> lastUseNanos = new ConcurrentHashMap<>();
    private final Map<LoadKey, Long> heldUntilNanos = new ConcurrentHashMap<>();
    private final DemandTracker demandTracker;
    private final TimeSource time;

    ModelUsage(DemandTracker demandTracker, TimeSource time) {
        this.demandTracker = demandTracker;
        this.time = time;
    }

    /** Records requests of which the newest is {@code agoMs} milliseconds old. */
    void recordUse(LoadKey key, long agoMs) {
        long usedAtNanos = time.nanoTime() - agoMs * NANOS_PER_MS;
        lastUseNanos.merge(key, usedAtNanos, (known, reported) -> reported - known > 0 ? reported : known);
    }

    /** Keeps a model from expiring for {@code holdMs} milliseconds from now; it may still be evicted for memory. */
    void extendHold(LoadKey key, long holdMs) {
        heldUntilNanos.merge(
                key, time.nanoTime() + holdMs * NANOS_PER_MS, (known, next) -> next - known > 0 ? next : known);
    }

    /**
     * Starts the idle time of newly loaded keys, and drops keys that are no longer loaded and holds that have ended.
     */
    void retainLoaded(Set<LoadKey> keys) {
        keys.forEach(key -> lastUseNanos.putIfAbsent(key, time.nanoTime()));
        lastUseNanos.keySet().retainAll(keys);
        heldUntilNanos.values().removeIf(until -> time.nanoTime() - until >= 0);
    }

    /** Returns the time since the last use in milliseconds, 0 for a key that was never seen loaded or used. */
    long idleMs(LoadKey key) {
        Long lastNanos = lastUseNanos.get(key);
        return lastNanos == null ? 0 : (time.nanoTime() - lastNanos) / NANOS_PER_MS;
    }

    /** Returns whether a loaded key is to be unloaded: it is not held, and its keep-alive time has passed. */
    boolean isExpired(LoadKey key) {
        if (heldUntilNanos.containsKey(key)) {
            return false;
        }
        long idleMs = idleMs(key);
        long nowMs = time.currentTimeMillis();
        return idleMs > demandTracker.keepAliveMs(key, nowMs - idleMs) && !demandTracker.shouldKeepLoaded(key, nowMs);
    }

    /** Returns the value of keeping an idle key loaded; the lowest is evicted first. */
    double retentionValue(LoadKey key) {
        return demandTracker.retentionValue(key, time.currentTimeMillis());
    }
}
