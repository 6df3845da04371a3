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

/** Runs a piece of work at most once over any number of processes, and gives repeats the first outcome. */
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

    /** Returns a runner of work in the named process. */
    public static AtMostOnceRunner of(String process, KvStore store) {
        ClaimShardOptions options = ClaimShardOptions.of(
                TimeSource.system(), () -> UUID.randomUUID().toString(), RETENTION);
        return new AtMostOnceRunner(process, ClaimShard.create(0, process, store, ClaimSegmentCodec.create(), options));
    }

    /**
     * Runs the work if nobody has claimed the key.
     *
     * @param key what may not be repeated
     * @param work runs at most once for the key
     * @return the outcome of the work, or why it did not run here
     */
    public String run(String key, Supplier<String> work) {
        Claim claim = Claim.of(key, process + "-" + ++submittedClaims, "same work", System.currentTimeMillis());
        CompletableFuture<ClaimResult> result = shard.submit(claim, CLAIM_TIMEOUT_MS);
        shard.flush();
        return switch (result.getNow(new ClaimResult.Unsettled("no answer yet"))) {
            case ClaimResult.Claimed claimed -> runAndRecord(claim, work);
            case ClaimResult.AlreadyDone done ->
                new String(done.outcome().body().orElseThrow(), StandardCharsets.UTF_8);
            case ClaimResult.AlreadyClaimed conflicting ->
                "already claimed by " + conflicting.existing().claimant();
            case ClaimResult.FingerprintDiffers differs -> "the key was used for other work";
            case ClaimResult.NotClaimed rejected -> "did not run: " + rejected.reason();
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
