package io.persimmonstack.node.streams;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Leaves in the store what is needed to resume this node's streams after all nodes were killed at once: which software
 * versions it knows and, of services with several, where each of its streams began that its caller may resume. The
 * caller supplies the time. Thread-safe; never blocks.
 */
final class OriginPublisher {
    /** Number of streams that are left; beyond it, the oldest are dropped. */
    static final int MAX_STREAMS = 4_096;
    /** Time after the end of a complete stream in which its caller may still lack the last events, in milliseconds. */
    static final long COMPLETE_KEPT_MS = 2_000;

    private final String node;
    private final Runnable onChange;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private Set<StreamOrigin> versions = Set.of();
    private boolean ownRecordRead;

    /**
     * Stream of this node, or of the process before it.
     *
     * @param stream the stream while this process knows it
     */
    private record Entry(StreamOrigin origin, Optional<DeliveredStream> stream, long addedNanos) {}

    private OriginPublisher(String node, Runnable onChange) {
        this.node = node;
        this.onChange = onChange;
    }

    /**
     * Returns a publisher that knows no versions and no streams.
     *
     * @param node name of this node
     * @param onChange called when its record is to be written; must not block
     */
    static OriginPublisher of(String node, Runnable onChange) {
        return new OriginPublisher(node, onChange);
    }

    /** Takes the versions that serve, or have served lately, by the runners that this node lists. */
    synchronized void updateVersions(Set<StreamOrigin> known) {
        if (!known.equals(versions)) {
            versions = Set.copyOf(known);
            onChange.run();
        }
    }

    /** Adds a stream whose delivery begins. */
    synchronized void add(DeliveredStream stream, long nowNanos) {
        entries.put(VersionStreams.key(stream.request()), new Entry(stream.origin(), Optional.of(stream), nowNanos));
        dropOldest();
        if (hasSeveralVersions(stream.origin().service())) {
            onChange.run();
        }
    }

    private void dropOldest() {
        Iterator<Long> oldest = entries.keySet().iterator();
        while (entries.size() > MAX_STREAMS) {
            oldest.next();
            oldest.remove();
        }
    }

    private boolean hasSeveralVersions(String service) {
        return versions.stream()
                        .filter(version -> version.service().equals(service))
                        .count()
                > 1;
    }

    /**
     * Takes the records in the store. Carries on the streams of this node's process before, and writes the record again
     * if the store has lost it, or has an earlier one.
     *
     * @param records records by name of their node
     * @param nowNanos monotonic time
     */
    synchronized void recordsRead(Map<String, List<VersionStreams>> records, long nowNanos) {
        boolean first = !ownRecordRead;
        ownRecordRead = true;
        if (first) {
            records.getOrDefault(node, List.of()).forEach(version -> carryOn(version, nowNanos));
        }
        boolean outdated = !Set.copyOf(records.getOrDefault(node, List.of())).equals(Set.copyOf(current(nowNanos)));
        if (first || !records.containsKey(node) || outdated) {
            onChange.run();
        }
    }

    /** Writes the record again if it was this node's that was removed from the store. */
    void recordRemoved(String removedNode) {
        if (removedNode.equals(node)) {
            onChange.run();
        }
    }

    private void carryOn(VersionStreams version, long nowNanos) {
        version.streams()
                .forEach(
                        stream -> entries.putIfAbsent(stream, new Entry(version.origin(), Optional.empty(), nowNanos)));
        dropOldest();
    }

    /** Returns the record, empty until the one of the process before has been read or while no version is known. */
    synchronized Optional<byte[]> record(long nowNanos) {
        if (!ownRecordRead || versions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(StreamRecordCodec.encode(current(nowNanos)));
    }

    /** Returns the versions that serve, and the streams that may be resumed where a service has several of them. */
    private List<VersionStreams> current(long nowNanos) {
        entries.values().removeIf(entry -> !mayBeResumed(entry, nowNanos));
        Map<StreamOrigin, List<Long>> streams = new HashMap<>();
        versions.forEach(version -> streams.put(version, new ArrayList<>()));
        entries.forEach((key, entry) -> {
            if (hasSeveralVersions(entry.origin().service())) {
                streams.computeIfAbsent(entry.origin(), ignored -> new ArrayList<>())
                        .add(key);
            }
        });
        List<VersionStreams> records = new ArrayList<>();
        streams.forEach((origin, keys) -> records.add(new VersionStreams(origin, keys)));
        return records;
    }

    private static boolean mayBeResumed(Entry entry, long nowNanos) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.addedNanos());
        if (entry.stream().isEmpty()) {
            return ageMs < StoredOrigins.KNOWN_MS;
        }
        DeliveredStream stream = entry.stream().get();
        return stream.completeForMs(nowNanos).isPresent()
                ? stream.completeForMs(nowNanos).getAsLong() < COMPLETE_KEPT_MS
                : !stream.hasEnded() || ageMs < stream.validMs();
    }
}
