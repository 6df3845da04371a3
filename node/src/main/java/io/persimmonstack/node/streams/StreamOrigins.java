package io.persimmonstack.node.streams;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Origins of streams that one node keeps for a while. The caller supplies the time. Thread-safe. */
final class StreamOrigins {
    /** Number of origins kept; beyond it, the oldest are dropped. */
    static final int MAX_ORIGINS = 20_000;
    /** Longest time for which an origin is kept without being kept again, in milliseconds. */
    static final long MAX_VALID_MS = 120_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private record Entry(StreamOrigin origin, long validUntilNanos) {}

    private StreamOrigins() {}

    /** Returns a collection without any origins. */
    static StreamOrigins create() {
        return new StreamOrigins();
    }

    /**
     * Keeps an origin. One that is known already stays, since a stream has one origin; it may become valid for longer.
     *
     * @param request identifier of the request that brought the first event
     * @param origin where the stream began
     * @param validMs for how long to keep it, in milliseconds, at most {@link #MAX_VALID_MS}
     * @param nowNanos monotonic time
     */
    synchronized void keep(String request, StreamOrigin origin, long validMs, long nowNanos) {
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.clamp(validMs, 0, MAX_VALID_MS));
        Entry known = entries.remove(request);
        boolean current = known != null && known.validUntilNanos() - nowNanos > 0;
        Entry kept = current
                ? new Entry(
                        known.origin(), known.validUntilNanos() - untilNanos > 0 ? known.validUntilNanos() : untilNanos)
                : new Entry(origin, untilNanos);
        entries.put(request, kept);
        dropOldest(nowNanos);
    }

    /** Drops what is no longer valid from the front, and what exceeds the limit. */
    private void dropOldest(long nowNanos) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (entries.size() <= MAX_ORIGINS && entry.validUntilNanos() - nowNanos > 0) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the origin of a stream, empty if it is unknown or no longer valid. */
    Optional<StreamOrigin> find(String request, long nowNanos) {
        return findCopy(request, nowNanos).map(OriginCopy::origin);
    }

    /** Returns a copy of an origin with the rest of its validity, empty if it is unknown or no longer valid. */
    synchronized Optional<OriginCopy> findCopy(String request, long nowNanos) {
        Entry entry = entries.get(request);
        if (entry == null || entry.validUntilNanos() - nowNanos <= 0) {
            return Optional.empty();
        }
        long validMs = Math.ceilDiv(entry.validUntilNanos() - nowNanos, TimeUnit.MILLISECONDS.toNanos(1));
        return Optional.of(new OriginCopy(request, entry.origin(), validMs));
    }

    /** Returns the number of origins, including some that are no longer valid. */
    synchronized int size() {
        return entries.size();
    }
}
