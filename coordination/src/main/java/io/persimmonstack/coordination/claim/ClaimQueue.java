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

    private final Deque<QueuedEntry> waiting = new ArrayDeque<>();
    private final int maxClaims;

    private ClaimQueue(int maxClaims) {
        this.maxClaims = maxClaims;
    }

    /** Returns an empty queue in front of a table that may hold so many claims. */
    static ClaimQueue holdingAtMost(int maxClaims) {
        return new ClaimQueue(maxClaims);
    }

    synchronized boolean offer(QueuedEntry entry) {
        return waiting.size() < MAX_QUEUED_ENTRIES && waiting.add(entry);
    }

    synchronized boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Puts entries back to the front, but for those already answered. */
    synchronized void putBack(List<QueuedEntry> entries) {
        for (QueuedEntry entry : entries.reversed()) {
            if (!entry.answered()) {
                waiting.addFirst(entry);
            }
        }
    }

    /** Answers claims whose deadline has passed before any attempt that may still record them. */
    synchronized void answerExpired(long nowNanos) {
        waiting.removeIf(entry -> {
            boolean expired = entry.expired(nowNanos);
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
    synchronized Optional<List<QueuedEntry>> nextBatch(ClaimTable table, long nowNanos, List<QueuedEntry> settled) {
        answerExpired(nowNanos);
        List<QueuedEntry> taken = new ArrayList<>();
        List<QueuedEntry> later = new ArrayList<>();
        Set<String> claimedKeys = new HashSet<>();
        int bytes = 0;
        while (!waiting.isEmpty() && taken.size() < MAX_SEGMENT_ENTRIES) {
            QueuedEntry entry = waiting.removeFirst();
            if (answeredBy(table, entry, settled)) {
                continue;
            }
            boolean newKey =
                    !entry.isOutcome() && !claimedKeys.contains(entry.claim().key());
            if (newKey && table.size() + taken.size() >= maxClaims) {
                entry.complete(new ClaimResult.NotClaimed(maxClaims + " claims are held, the most allowed"));
                continue;
            }
            bytes += entry.estimatedBytes();
            if (bytes > MAX_SEGMENT_BYTES && !taken.isEmpty()) {
                waiting.addFirst(entry);
                break;
            }
            boolean first = claimedKeys.add(entry.claim().key());
            (first ? taken : later).add(entry);
        }
        later.reversed().forEach(waiting::addFirst);
        return taken.isEmpty() ? Optional.empty() : Optional.of(taken);
    }

    private static boolean answeredBy(ClaimTable table, QueuedEntry entry, List<QueuedEntry> settled) {
        Optional<ClaimHolder> found = table.holder(entry.claim().key());
        if (found.isEmpty()) {
            return false;
        }
        ClaimHolder holder = found.get();
        if (entry.isOutcome()) {
            return holder.settled() || !holder.claim().sameClaimant(entry.claim());
        }
        Optional<ClaimResult> answer = answer(table, holder, entry.claim());
        answer.ifPresentOrElse(entry::complete, () -> settled.add(entry));
        return true;
    }

    /** Returns the answer to a claim of a held key; empty where the outcome has to be read back. */
    private static Optional<ClaimResult> answer(ClaimTable table, ClaimHolder holder, Claim claim) {
        Claim existing = holder.claim();
        if (!existing.fingerprint().equals(claim.fingerprint())) {
            return Optional.of(new ClaimResult.FingerprintDiffers(existing));
        }
        if (holder.settled()) {
            return table.outcome(existing.key()).map(outcome -> new ClaimResult.AlreadyDone(existing, outcome));
        }
        return Optional.of(
                existing.sameClaimant(claim)
                        ? new ClaimResult.Claimed(existing)
                        : new ClaimResult.AlreadyClaimed(existing));
    }
}
