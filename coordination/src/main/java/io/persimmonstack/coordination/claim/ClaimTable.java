package io.persimmonstack.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Live part of one shard's log in memory: who holds which key, and the segments in order. */
final class ClaimTable {
    /** Segment as the table knows it. */
    private record SegmentInfo(List<String> keys, long revision, long firstSeenNanos) {}

    private final Map<String, RecordedClaim> claimsByKey = new HashMap<>();
    private final OutcomeCache outcomeCache = new OutcomeCache();
    private final TreeMap<Long, SegmentInfo> segments = new TreeMap<>();
    private final TreeMap<Long, Long> obsoleteSegments = new TreeMap<>();
    private long floor = 1;

    /** Returns the number that follows all known ones. */
    long nextNumber() {
        return segments.isEmpty() ? floor : Math.max(floor, segments.lastKey() + 1);
    }

    long floor() {
        return floor;
    }

    Optional<RecordedClaim> recordedClaim(String key) {
        return Optional.ofNullable(claimsByKey.get(key));
    }

    /** Returns the outcome of a settled claim where it is at hand. */
    Optional<ClaimOutcome> cachedOutcome(String key) {
        return outcomeCache.get(key);
    }

    /** Keeps an outcome that was read back from the log. */
    void cacheOutcome(String key, ClaimOutcome outcome) {
        outcomeCache.put(key, outcome);
    }

    /** Adds a segment that is known to be part of the log. */
    void add(ClaimSegment segment, long revision, long nowNanos) {
        List<String> keys = new ArrayList<>();
        for (ClaimLogEntry entry : segment.entries()) {
            keys.add(apply(entry, segment.number()));
        }
        segments.put(segment.number(), new SegmentInfo(keys, revision, nowNanos));
    }

    /** Notes a segment that was created again after retention had deleted its number. */
    void addObsoleteSegment(long number, long revision) {
        obsoleteSegments.put(number, revision);
    }

    /** Drops what stands below the floor and marks it for deletion. */
    void raiseFloor(long newFloor) {
        floor = Math.max(floor, newFloor);
        Map<Long, SegmentInfo> belowFloor = segments.headMap(floor);
        for (Map.Entry<Long, SegmentInfo> entry : belowFloor.entrySet()) {
            obsoleteSegments.put(entry.getKey(), entry.getValue().revision());
            removeClaims(entry.getKey(), entry.getValue().keys());
        }
        belowFloor.clear();
    }

    /** Returns the floor that leaves only segments first seen less than the retention ago. */
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

    /** Returns the dead segments that may still exist in the service, by number, with their revisions. */
    TreeMap<Long, Long> obsoleteSegments() {
        return new TreeMap<>(obsoleteSegments);
    }

    void removeObsoleteSegment(long number) {
        obsoleteSegments.remove(number);
    }

    int claimCount() {
        return claimsByKey.size();
    }

    /** Applies one line and returns its key, the same object for all lines of a key. */
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
            claimsByKey.put(canonicalKey, new RecordedClaim(existing.claim(), segment, addsOutcome ? segment : existing.outcomeSegment()));
            if (addsOutcome) {
                outcomeCache.put(canonicalKey, entry.outcome().get());
            }
        }
        return canonicalKey;
    }

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
