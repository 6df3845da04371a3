package io.persimmonstack.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory index of the live part of one shard's log, which is the segments from the floor on: the claim that holds
 * each key, and the known segments. Not thread-safe.
 */
final class ClaimTable {
    /**
     * Live segment.
     *
     * @param keys keys of its entries
     * @param revision store revision of the segment
     * @param firstSeenNanos monotonic time at which this node learnt of the segment; retention is measured from it
     */
    private record SegmentInfo(List<String> keys, long revision, long firstSeenNanos) {}

    private final Map<String, RecordedClaim> claimsByKey = new HashMap<>();
    private final OutcomeCache outcomeCache = new OutcomeCache();
    private final TreeMap<Long, SegmentInfo> segments = new TreeMap<>();
    /** Store revisions of the segments below the floor that remain to be deleted, by segment number. */
    private final TreeMap<Long, Long> obsoleteSegments = new TreeMap<>();

    private long floor = 1;

    /** Returns the number of the next segment to write. */
    long nextNumber() {
        return segments.isEmpty() ? floor : Math.max(floor, segments.lastKey() + 1);
    }

    /** Returns the lowest segment number that retention has not deleted. */
    long floor() {
        return floor;
    }

    /** Returns the claim that holds a key, if any. */
    Optional<RecordedClaim> recordedClaim(String key) {
        return Optional.ofNullable(claimsByKey.get(key));
    }

    /** Returns the outcome recorded for a key if it is in the cache. */
    Optional<ClaimOutcome> cachedOutcome(String key) {
        return outcomeCache.get(key);
    }

    /** Caches an outcome that was read back from the log. */
    void cacheOutcome(String key, ClaimOutcome outcome) {
        outcomeCache.put(key, outcome);
    }

    /** Adds a segment that is confirmed to be part of the log. */
    void add(ClaimSegment segment, long revision, long nowNanos) {
        List<String> keys = new ArrayList<>();
        for (ClaimLogEntry entry : segment.entries()) {
            keys.add(apply(entry, segment.number()));
        }
        segments.put(segment.number(), new SegmentInfo(keys, revision, nowNanos));
    }

    /**
     * Registers a segment below the floor for deletion, such as one created again after retention deleted its number.
     */
    void addObsoleteSegment(long number, long revision) {
        obsoleteSegments.put(number, revision);
    }

    /**
     * Raises the floor if it is lower: removes the claims of the segments below it and marks these segments for
     * deletion.
     */
    void raiseFloor(long newFloor) {
        floor = Math.max(floor, newFloor);
        Map<Long, SegmentInfo> belowFloor = segments.headMap(floor);
        for (Map.Entry<Long, SegmentInfo> entry : belowFloor.entrySet()) {
            obsoleteSegments.put(entry.getKey(), entry.getValue().revision());
            removeClaims(entry.getKey(), entry.getValue().keys());
        }
        belowFloor.clear();
    }

    /** Returns the floor that removes the leading segments first seen at least the retention ago. */
    long floorAfterRetention(long retentionNanos, long nowNanos) {
        long result = floor;
        for (Map.Entry<Long, SegmentInfo> entry : segments.entrySet()) {
            if (nowNanos - entry.getValue().firstSeenNanos() < retentionNanos) {
                break;
            }
            result = entry.getKey() + 1;
        }
        return result;
    }

    /** Returns the revisions of the segments below the floor that may still exist in the store, by segment number. */
    TreeMap<Long, Long> obsoleteSegments() {
        return new TreeMap<>(obsoleteSegments);
    }

    /** Removes a segment that has been deleted from the store. */
    void removeObsoleteSegment(long number) {
        obsoleteSegments.remove(number);
    }

    int claimCount() {
        return claimsByKey.size();
    }

    /** Applies one entry and returns its key, as the same {@code String} instance for all entries of the key. */
    private String apply(ClaimLogEntry entry, long segment) {
        String key = entry.claim().key();
        RecordedClaim existing = claimsByKey.get(key);
        if (existing == null) {
            existing = new RecordedClaim(entry.claim(), segment, 0);
            claimsByKey.put(key, existing);
        }
        String canonicalKey = existing.claim().key();
        if (existing.claim().sameClaimant(entry.claim())) {
            boolean addsOutcome = entry.outcome().isPresent() && !existing.hasOutcome();
            claimsByKey.put(
                    canonicalKey,
                    new RecordedClaim(existing.claim(), segment, addsOutcome ? segment : existing.outcomeSegment()));
            if (addsOutcome) {
                outcomeCache.put(canonicalKey, entry.outcome().get());
            }
        }
        return canonicalKey;
    }

    /** Removes the claims of a segment that no later segment mentions. */
    private void removeClaims(long segment, List<String> keys) {
        for (String key : keys) {
            RecordedClaim existing = claimsByKey.get(key);
            if (existing != null && existing.lastSegment() <= segment) {
                claimsByKey.remove(key);
                outcomeCache.remove(key);
            }
        }
    }
}
