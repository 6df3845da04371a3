package io.persimmonstack.coordinator.runner;

import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.load.DemandTracker;
import io.persimmonstack.coordinator.load.LoadKey;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** When each model and adapter of one runner was last used. */
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

    /** Notes requests of which the newest is {@code agoMs} old. */
    void recordUse(LoadKey key, long agoMs) {
        long usedAtNanos = time.nanoTime() - agoMs * NANOS_PER_MS;
        lastUseNanos.merge(key, usedAtNanos, (known, reported) -> reported - known > 0 ? reported : known);
    }

    /** Keeps a model loaded for a time although nobody asks for it. */
    void extendHold(LoadKey key, long holdMs) {
        heldUntilNanos.merge(
                key, time.nanoTime() + holdMs * NANOS_PER_MS, (known, next) -> next - known > 0 ? next : known);
    }

    /** Starts the idle time of what is loaded and not known yet, and forgets what is gone. */
    void retainLoaded(Set<LoadKey> keys) {
        keys.forEach(key -> lastUseNanos.putIfAbsent(key, time.nanoTime()));
        lastUseNanos.keySet().retainAll(keys);
        heldUntilNanos.values().removeIf(until -> time.nanoTime() - until >= 0);
    }

    long idleMs(LoadKey key) {
        Long lastNanos = lastUseNanos.get(key);
        return lastNanos == null ? 0 : (time.nanoTime() - lastNanos) / NANOS_PER_MS;
    }

    boolean isExpired(LoadKey key) {
        if (heldUntilNanos.containsKey(key)) {
            return false;
        }
        long idleMs = idleMs(key);
        long nowMs = time.currentTimeMillis();
        return idleMs > demandTracker.keepAliveMs(key, nowMs - idleMs) && !demandTracker.shouldKeepLoaded(key, nowMs);
    }

    double retentionValue(LoadKey key) {
        return demandTracker.retentionValue(key, time.currentTimeMillis());
    }
}
