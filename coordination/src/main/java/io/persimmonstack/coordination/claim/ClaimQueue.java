package io.persimmonstack.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Claims and outcomes that wait for a segment, in order of arrival. */
final class ClaimQueue {
    private static final int MAX_QUEUED_ENTRIES = 10_000;
    private static final int MAX_SEGMENT_ENTRIES = 1_000;
    private static final int MAX_SEGMENT_BYTES = 256 * 1024;

    private final Deque<QueuedEntry> queue = new ArrayDeque<>();
    private final int maxClaims;

    private ClaimQueue(int maxClaims) {
        this.maxClaims = maxClaims;
    }

    /** Returns an empty queue in front of a table that may hold so many claims. */
    static ClaimQueue withMaxClaims(int maxClaims) {
        return new ClaimQueue(maxClaims);
    }

    synchronized boolean offer(QueuedEntry entry) {
        return queue.size() < MAX_QUEUED_ENTRIES && queue.add(entry);
    }

    synchronized boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Puts entries back to the front, but for those already answered. */
    synchronized void requeue(List<QueuedEntry> entries) {
        for (QueuedEntry entry : entries.reversed()) {
            if (!entry.isAnswered()) {
                queue.addFirst(entry);
            }
        }
    }

    /** Answers claims whose deadline has passed before any attempt that may still record them. */
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
     * Answers what the table decides and takes the rest as the entries of one segment.
     *
     * @param table live part of the log
     * @param nowNanos time now
     * @param settled receives claims whose keys are settled and whose outcomes have to be read back
     * @return the entries of the next segment
     */
    synchronized Optional<List<QueuedEntry>> nextBatch(ClaimTable table, long nowNanos, List<QueuedEntry> needingOutcome) {
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

    /** Returns the answer to a claim of a held key; empty where the outcome has to be read back. */
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
