package io.persimmonstack.examples;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.coordination.claim.ClaimShard;
import io.persimmonstack.coordination.claim.ClaimShardOptions;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.wire.codec.ClaimSegmentCodec;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs the work of an idempotency key at most once in all processes, and returns its recorded outcome to repeats. A key
 * is remembered for 24 hours.
 */
public final class AtMostOnceRunner {
    private static final long CLAIM_TIMEOUT_MS = 500;
    private static final Duration RETENTION = Duration.ofHours(24);
    private final String process;
    private final ClaimShard shard;
    private long submittedClaims;

    private AtMostOnceRunner(String process, ClaimShard shard) {
        this.process = process;
        this.shard = shard;
    }

    /** Creates the runner of one process; the processes share the key-value service. */
    public static AtMostOnceRunner of(String process, KvStore store) {
        ClaimShardOptions options = ClaimShardOptions.of(
                TimeSource.system(), () -> UUID.randomUUID().toString(), RETENTION);
        return new AtMostOnceRunner(process, ClaimShard.create(0, process, store, ClaimSegmentCodec.create(), options));
    }

    /**
     * Runs the work unless the key has already been claimed, by this or another process.
     *
     * @param key idempotency key of the work
     * @param work work to run; its result is recorded as the outcome
     * @return the outcome of the first run, or the reason why the work did not run
     */
    public String run(String key, Supplier<String> work) {
        Claim claim = Claim.of(key, process + "-" + ++submittedClaims, "same work", System.currentTimeMillis());
        CompletableFuture<ClaimResult> result = shard.submit(claim, CLAIM_TIMEOUT_MS);
        shard.flush();
        return switch (result.getNow(new ClaimResult.Unsettled("no answer yet"))) {
            case ClaimResult.Claimed claimed -> runAndRecord(claim, work);
            case ClaimResult.AlreadyDone done ->
                new String(done.outcome().body().orElseThrow(), StandardCharsets.UTF_8);
            case ClaimResult.AlreadyClaimed alreadyClaimed ->
                "already claimed by " + alreadyClaimed.existing().claimant();
            case ClaimResult.FingerprintDiffers differs -> "the key was used for other work";
            case ClaimResult.NotClaimed notClaimed -> "did not run: " + notClaimed.reason();
            case ClaimResult.Unsettled unsettled -> "did not run: " + unsettled.reason();
        };
    }

    private String runAndRecord(Claim claim, Supplier<String> work) {
        String outcome = work.get();
        shard.settle(claim, ClaimOutcome.of(200, "text/plain", outcome.getBytes(StandardCharsets.UTF_8)));
        shard.flush();
        return outcome;
    }
}
