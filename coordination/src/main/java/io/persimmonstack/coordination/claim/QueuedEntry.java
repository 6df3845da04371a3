package io.persimmonstack.coordination.claim;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Log line that waits to be written, with who waits for it. */
final class QueuedEntry {
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

    CompletableFuture<ClaimResult> answer() {
        return answer;
    }

    boolean isOutcome() {
        return entry.outcome().isPresent();
    }

    boolean isExpired(long nowNanos) {
        return !isOutcome() && nowNanos - deadlineNanos >= 0;
    }

    /** Returns whether nobody waits any more. */
    boolean isAnswered() {
        return answer.isDone();
    }

    void complete(ClaimResult result) {
        answer.complete(result);
    }

    int estimatedBytes() {
        int bodyBytes = entry.outcome().map(ClaimOutcome::bodyBytes).orElse(0);
        return ENTRY_OVERHEAD_BYTES + bodyBytes + utf8Bytes(claim().key()) + utf8Bytes(claim().claimant()) + utf8Bytes(claim().fingerprint());
    }

    private static int utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
