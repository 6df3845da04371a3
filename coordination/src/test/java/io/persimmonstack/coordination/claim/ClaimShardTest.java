package io.persimmonstack.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.FakeCodec;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ClaimShardTest {
    private static final long CLAIM_TIMEOUT_MS = 500;
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final FakeCodec<ClaimSegment> codec = new FakeCodec<>();
    private final AtomicLong nowNanos = new AtomicLong();
    private final AtomicLong lastBatchId = new AtomicLong();
    private final ClaimShard first = writer("first");
    private final ClaimShard second = writer("second");

    @Test
    void onlyOneOfTwoWritersClaimsAKey() {
        CompletableFuture<ClaimResult> won = first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        assertInstanceOf(FlushResult.Written.class, first.flush());
        CompletableFuture<ClaimResult> lost = second.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        second.flush();
        assertInstanceOf(ClaimResult.Claimed.class, won.join());
        assertInstanceOf(ClaimResult.AlreadyClaimed.class, lost.join());
    }

    @Test
    void staleWriterReadsTheWinningSegmentAndRetries() {
        warmUp(first, second);
        CompletableFuture<ClaimResult> won = first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        first.flush();
        CompletableFuture<ClaimResult> lost = second.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        CompletableFuture<ClaimResult> other = second.submit(claim("other", "b"), CLAIM_TIMEOUT_MS);
        second.flush();
        assertInstanceOf(ClaimResult.Claimed.class, won.join());
        assertInstanceOf(ClaimResult.AlreadyClaimed.class, lost.join());
        assertInstanceOf(ClaimResult.Claimed.class, other.join());
    }

    @Test
    void queuedClaimsAreWrittenAsOneSegment() {
        for (int i = 0; i < 100; i++) {
            first.submit(claim("key" + i, "a"), CLAIM_TIMEOUT_MS);
        }
        assertEquals(new FlushResult.Written(1, 100), first.flush());
        assertEquals(1, store.writes());
    }

    @Test
    void recordedOutcomeIsReturnedToLaterClaims() {
        Claim claim = claim("key", "a");
        first.submit(claim, CLAIM_TIMEOUT_MS);
        first.flush();
        first.settle(claim, ClaimOutcome.of(200, "text/plain", new byte[] {1}));
        first.flush();
        CompletableFuture<ClaimResult> later = second.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        second.flush();
        ClaimResult.AlreadyDone done = assertInstanceOf(ClaimResult.AlreadyDone.class, later.join());
        assertEquals(200, done.outcome().status());
    }

    @Test
    void evictedOutcomesAreReadBackFromTheLog() {
        int count = 64;
        for (int i = 0; i < count; i++) {
            Claim claim = claim("key" + i, "a");
            first.submit(claim, CLAIM_TIMEOUT_MS);
            first.flush();
            first.settle(claim, ClaimOutcome.of(200 + i, "text/plain", new byte[ClaimOutcome.MAX_BODY_BYTES]));
            first.flush();
        }
        long readsBefore = store.reads();
        for (int i = 0; i < count; i++) {
            CompletableFuture<ClaimResult> later = first.submit(claim("key" + i, "b"), CLAIM_TIMEOUT_MS);
            assertInstanceOf(FlushResult.Idle.class, first.flush());
            ClaimResult.AlreadyDone done = assertInstanceOf(ClaimResult.AlreadyDone.class, later.join());
            assertEquals(200 + i, done.outcome().status());
            assertEquals(ClaimOutcome.MAX_BODY_BYTES, done.outcome().bodyBytes());
        }
        assertEquals(count, store.reads() - readsBefore);
    }

    @Test
    void claimWaitsUntilItsOutcomeCanBeReadBack() {
        Claim claim = claim("key", "a");
        first.submit(claim, CLAIM_TIMEOUT_MS);
        first.flush();
        first.settle(claim, ClaimOutcome.of(200, "text/plain", new byte[] {1}));
        first.flush();
        for (int i = 0; i < 64; i++) {
            Claim other = claim("other" + i, "a");
            first.submit(other, CLAIM_TIMEOUT_MS);
            first.flush();
            first.settle(other, ClaimOutcome.of(200, "text/plain", new byte[ClaimOutcome.MAX_BODY_BYTES]));
            first.flush();
        }
        store.unavailable(true);
        CompletableFuture<ClaimResult> later = first.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        assertInstanceOf(FlushResult.Delayed.class, first.flush());
        assertFalse(later.isDone());
        store.unavailable(false);
        first.flush();
        assertInstanceOf(ClaimResult.AlreadyDone.class, later.join());
    }

    @Test
    void segmentBelowAFloorRaisedDuringTheLoadIsVoid() throws KvException {
        first.submit(claim("old", "a"), CLAIM_TIMEOUT_MS);
        first.flush();
        nowNanos.addAndGet(RETENTION.toNanos());
        ClaimShard starting = writer("starting");
        AtomicBoolean raised = new AtomicBoolean();
        store.intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.LIST && raised.compareAndSet(false, true)) {
                first.trim();
                recreateFirstSegment(claim("key", "b"));
            }
        });
        CompletableFuture<ClaimResult> answer = starting.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        assertEquals(new FlushResult.Written(2, 1), starting.flush());
        assertInstanceOf(ClaimResult.Claimed.class, answer.join());
    }

    /** Simulates a writer that was paused past the retention and then creates the deleted first segment again. */
    private void recreateFirstSegment(Claim claim) throws KvException {
        ClaimSegment segment = new ClaimSegment(0, 1, "paused", "late", List.of(ClaimLogEntry.claimed(claim)));
        store.put(new ClaimKeys(0).segmentKey(1), codec.encode(segment), Expectation.absent());
    }

    @Test
    void differentRequestUnderTheSameKeyIsRejected() {
        first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        first.flush();
        CompletableFuture<ClaimResult> other = first.submit(Claim.of("key", "b", "otherPrint", 0), CLAIM_TIMEOUT_MS);
        first.flush();
        assertInstanceOf(ClaimResult.FingerprintDiffers.class, other.join());
    }

    @Test
    void lostReplyIsResolvedByTheNextFlush() {
        store.loseReplies(1);
        CompletableFuture<ClaimResult> answer = first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        assertInstanceOf(FlushResult.Delayed.class, first.flush());
        assertFalse(answer.isDone());
        first.flush();
        assertInstanceOf(ClaimResult.Claimed.class, answer.join());
    }

    @Test
    void ambiguousClaimIsUnsettledAtItsDeadline() {
        store.loseReplies(1);
        CompletableFuture<ClaimResult> answer = first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        first.flush();
        advanceClock(Duration.ofMillis(CLAIM_TIMEOUT_MS));
        first.flush();
        assertInstanceOf(ClaimResult.Unsettled.class, answer.join());
    }

    @Test
    void claimDuringAnOutageIsNotRecorded() {
        store.unavailable(true);
        CompletableFuture<ClaimResult> answer = first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        first.flush();
        advanceClock(Duration.ofMillis(CLAIM_TIMEOUT_MS));
        first.flush();
        assertInstanceOf(ClaimResult.NotClaimed.class, answer.join());
        store.unavailable(false);
        CompletableFuture<ClaimResult> later = second.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        second.flush();
        assertInstanceOf(ClaimResult.Claimed.class, later.join());
    }

    @Test
    void writerPausedPastTheRetentionCannotCreateADeletedNumber() throws KvException {
        warmUp(first, second);
        second.submit(claim("old", "b"), CLAIM_TIMEOUT_MS);
        second.flush();
        advanceClock(RETENTION);
        assertEquals(3, second.trim());
        CompletableFuture<ClaimResult> taken = second.submit(claim("key", "b"), CLAIM_TIMEOUT_MS);
        second.flush();
        CompletableFuture<ClaimResult> stale = first.submit(claim("key", "a"), CLAIM_TIMEOUT_MS);
        first.flush();
        assertInstanceOf(ClaimResult.Claimed.class, taken.join());
        assertInstanceOf(ClaimResult.AlreadyClaimed.class, stale.join());
    }

    @Test
    void claimBeyondMaxClaimsIsRefusedAndHeldKeysAreStillAnswered() throws KvException {
        ClaimShard bounded = writer("bounded", 2);
        CompletableFuture<ClaimResult> one = bounded.submit(claim("one", "a"), CLAIM_TIMEOUT_MS);
        CompletableFuture<ClaimResult> two = bounded.submit(claim("two", "a"), CLAIM_TIMEOUT_MS);
        CompletableFuture<ClaimResult> three = bounded.submit(claim("three", "a"), CLAIM_TIMEOUT_MS);
        CompletableFuture<ClaimResult> again = bounded.submit(claim("one", "b"), CLAIM_TIMEOUT_MS);
        bounded.flush();
        bounded.flush();
        assertInstanceOf(ClaimResult.Claimed.class, one.join());
        assertInstanceOf(ClaimResult.Claimed.class, two.join());
        assertInstanceOf(ClaimResult.NotClaimed.class, three.join());
        assertInstanceOf(ClaimResult.AlreadyClaimed.class, again.join());
        advanceClock(RETENTION);
        bounded.trim();
        CompletableFuture<ClaimResult> later = bounded.submit(claim("three", "a"), CLAIM_TIMEOUT_MS);
        bounded.flush();
        assertInstanceOf(ClaimResult.Claimed.class, later.join());
    }

    private void warmUp(ClaimShard... shards) {
        for (ClaimShard shard : shards) {
            shard.submit(claim("warm-up-" + lastBatchId.get(), "w"), CLAIM_TIMEOUT_MS);
            shard.flush();
        }
    }

    private ClaimShard writer(String name) {
        return writer(name, Integer.MAX_VALUE);
    }

    private ClaimShard writer(String name, int maxClaims) {
        TimeSource time = FakeTime.ofNanos(nowNanos::get);
        return ClaimShard.create(
                0,
                name,
                store,
                codec,
                ClaimShardOptions.of(time, () -> "batch-" + lastBatchId.incrementAndGet(), RETENTION)
                        .withMaxClaims(maxClaims));
    }

    private void advanceClock(Duration duration) {
        nowNanos.addAndGet(duration.toNanos());
    }

    private static Claim claim(String key, String claimant) {
        return Claim.of(key, claimant, "print", 0);
    }
}
