package io.persimmonstack.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** FIFO queue of claims and outcomes to be written with the next segment. Thread-safe. */
final class ClaimQueue {
    /** Entries beyond this number are refused. */
    private static final int MAX_QUEUED_ENTRIES = 10_000;

    private static final int MAX_SEGMENT_ENTRIES = 1_000;
    /** Limit of the estimated segment size; a single larger entry is written as a segment of its own. */
    private static final int MAX_SEGMENT_BYTES = 256 * 1024;

    private final Deque<QueuedEntry> queue = new ArrayDeque<>();
    private final int maxClaims;

    private ClaimQueue(int maxClaims) {
        this.maxClaims = maxClaims;
    }

    /** Returns an empty queue that refuses claims of new keys once the claim table holds {@code maxClaims}. */
    static ClaimQueue withMaxClaims(int maxClaims) {
        return new ClaimQueue(maxClaims);
    }

    /** Appends an entry; returns false if the queue is full. */
    synchronized boolean offer(QueuedEntry entry) {
        return queue.size() < MAX_QUEUED_ENTRIES && queue.add(entry);
    }

    synchronized boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Puts entries back at the front of the queue in their original order, except those that already have a result. */
    synchronized void requeue(List<QueuedEntry> entries) {
        for (QueuedEntry entry : entries.reversed()) {
            if (!entry.isAnswered()) {
                queue.addFirst(entry);
            }
        }
    }

    /** Fails queued claims whose deadline has passed. No attempt that may still record them is in progress. */
    synchronized void answerExpired(long nowNanos) {
        queue.removeIf(entry -> {
            boolean expired = entry.isExpired(nowNanos);
            if (expired) {
                entry.complete(new ClaimResult.NotClaimed("not recorded before the deadline"));
            }
            return expired;
        });
    }

    /**
     * Removes the entries of the next segment from the queue. Entries that the claim table already decides are answered
     * or dropped instead. A further entry for a key of the same segment stays queued, since its result depends on the
     * segment.
     *
     * @param table live part of the log
     * @param nowNanos current monotonic time in nanoseconds
     * @param needingOutcome receives claims of keys whose recorded outcome must be read back from the log first
     * @return the entries of the next segment, or empty if there is nothing to write
     */
    synchronized Optional<List<QueuedEntry>> nextBatch(
            ClaimTable table, long nowNanos, List<QueuedEntry> needingOutcome) {
        answerExpired(nowNanos);
        List<QueuedEntry> batch = new ArrayList<>();
        List<QueuedEntry> deferred = new ArrayList<>();
        Set<String> claimedKeys = new HashSet<>();
        int segmentBytes = 0;
        while (!queue.isEmpty() && batch.size() < MAX_SEGMENT_ENTRIES) {
            QueuedEntry entry = queue.removeFirst();
            if (answerFromTable(table, entry, needingOutcome)) {
                continue;
            }
            boolean claimsNewKey =
                    !entry.isOutcome() && !claimedKeys.contains(entry.claim().key());
            if (claimsNewKey && table.claimCount() + batch.size() >= maxClaims) {
                entry.complete(new ClaimResult.NotClaimed(maxClaims + " claims are held, the most allowed"));
                continue;
            }
            segmentBytes += entry.estimatedBytes();
            if (segmentBytes > MAX_SEGMENT_BYTES && !batch.isEmpty()) {
                queue.addFirst(entry);
                break;
            }
            boolean firstForKey = claimedKeys.add(entry.claim().key());
            (firstForKey ? batch : deferred).add(entry);
        }
        deferred.reversed().forEach(queue::addFirst);
        return batch.isEmpty() ? Optional.empty() : Optional.of(batch);
    }

    /** Answers or drops an entry whose key is in the table; returns false if the entry has to be written to the log. */
    private static boolean answerFromTable(ClaimTable table, QueuedEntry entry, List<QueuedEntry> needingOutcome) {
        Optional<RecordedClaim> found = table.recordedClaim(entry.claim().key());
        if (found.isEmpty()) {
            return false;
        }
        RecordedClaim recorded = found.get();
        if (entry.isOutcome()) {
            return recorded.hasOutcome() || !recorded.claim().sameClaimant(entry.claim());
        }
        Optional<ClaimResult> result = resultFor(table, recorded, entry.claim());
        result.ifPresentOrElse(entry::complete, () -> needingOutcome.add(entry));
        return true;
    }

    /** Returns the result of a claim whose key is held; empty if the outcome must be read back from the log first. */
    private static Optional<ClaimResult> resultFor(ClaimTable table, RecordedClaim recorded, Claim claim) {
        Claim existing = recorded.claim();
        if (!existing.fingerprint().equals(claim.fingerprint())) {
            return Optional.of(new ClaimResult.FingerprintDiffers(existing));
        }
        if (recorded.hasOutcome()) {
            return table.cachedOutcome(existing.key()).map(outcome -> new ClaimResult.AlreadyDone(existing, outcome));
        }
        return Optional.of(
                existing.sameClaimant(claim)
                        ? new ClaimResult.Claimed(existing)
                        : new ClaimResult.AlreadyClaimed(existing));
    }
}
