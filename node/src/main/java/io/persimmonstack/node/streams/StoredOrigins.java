package io.persimmonstack.node.streams;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What all nodes have left in the store about streams, by which a stream can be resumed after all nodes were killed at
 * once. The caller supplies the time. Thread-safe.
 */
final class StoredOrigins {
    /** Time for which an origin is known after it was last read; no caller resumes a stream later. */
    static final long KNOWN_MS = 60_000;
    /** Number of origins that are known; beyond it, the oldest are dropped. */
    static final int MAX_ORIGINS = 40_000;

    private final Map<Long, Known> origins = new LinkedHashMap<>();

    /**
     * Origin of a stream.
     *
     * @param origin where it began, empty if nodes tell different ones
     * @param readNanos monotonic time at which it was read
     */
    private record Known(Optional<StreamOrigin> origin, long readNanos) {}

    private StoredOrigins() {}

    /** Returns an object that knows nothing. */
    static StoredOrigins create() {
        return new StoredOrigins();
    }

    /** Takes the streams that one node has left, by the version at which they began. */
    synchronized void add(List<VersionStreams> versions, long nowNanos) {
        for (VersionStreams version : versions) {
            version.streams().forEach(stream -> add(stream, version.origin(), nowNanos));
        }
        dropOldest(nowNanos);
    }

    private void add(long stream, StreamOrigin origin, long nowNanos) {
        Known known = origins.remove(stream);
        boolean differs = known != null && !known.origin().equals(Optional.of(origin));
        origins.put(stream, new Known(differs ? Optional.empty() : Optional.of(origin), nowNanos));
    }

    private void dropOldest(long nowNanos) {
        Iterator<Known> oldest = origins.values().iterator();
        while (oldest.hasNext()) {
            Known known = oldest.next();
            if (origins.size() <= MAX_ORIGINS && isValid(known, nowNanos)) {
                return;
            }
            oldest.remove();
        }
    }

    private static boolean isValid(Known known, long nowNanos) {
        return nowNanos - known.readNanos() < TimeUnit.MILLISECONDS.toNanos(KNOWN_MS);
    }

    /** Returns where a stream began, empty if no node has left that or if they tell different origins. */
    synchronized Optional<StreamOrigin> find(String request, long nowNanos) {
        Known known = origins.get(VersionStreams.key(request));
        return known == null || !isValid(known, nowNanos) ? Optional.empty() : known.origin();
    }
}
