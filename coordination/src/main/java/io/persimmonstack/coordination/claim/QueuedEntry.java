package io.persimmonstack.coordination.claim;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Log entry that is queued to be written, with its deadline and the future that receives its result. */
final class QueuedEntry {
    /** Estimated encoded size of an entry besides its strings and body. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    private final ClaimLogEntry entry;
    private final long deadlineNanos;
    private final CompletableFuture<ClaimResult> answer = new CompletableFuture<>();

    private QueuedEntry(ClaimLogEntry entry, long deadlineNanos) {
        this.entry = entry;
        this.deadlineNanos = deadlineNanos;
    }

    static QueuedEntry forClaim(Claim claim, long deadlineNanos) {
        return new QueuedEntry(ClaimLogEntry.claimed(claim), deadlineNanos);
    }

    static QueuedEntry forOutcome(Claim claim, ClaimOutcome outcome) {
        return new QueuedEntry(ClaimLogEntry.settled(claim, outcome), 0);
    }

    ClaimLogEntry entry() {
        return entry;
    }

    Claim claim() {
        return entry.claim();
    }

    /** Returns the future result of a claim; not used for outcomes. */
    CompletableFuture<ClaimResult> answer() {
        return answer;
    }

    boolean isOutcome() {
        return entry.outcome().isPresent();
    }

    /** Returns whether the deadline of a claim has passed; outcomes have no deadline. */
    boolean isExpired(long nowNanos) {
        return !isOutcome() && nowNanos - deadlineNanos >= 0;
    }

    /** Returns whether the entry already has its result. */
    boolean isAnswered() {
        return answer.isDone();
    }

    void complete(ClaimResult result) {
        answer.complete(result);
    }

    /** Returns the approximate size of the encoded entry, used to limit the size of segments. */
    int estimatedBytes() {
        int bodyBytes = entry.outcome().map(ClaimOutcome::bodyBytes).orElse(0);
        return ENTRY_OVERHEAD_BYTES
                + bodyBytes
                + utf8Bytes(claim().key())
                + utf8Bytes(claim().claimant())
                + utf8Bytes(claim().fingerprint());
    }

    private static int utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
