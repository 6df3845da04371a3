package io.persimmonstack.coordination.claim;

import io.persimmonstack.coordination.time.TimeSource;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Ports and limits of a claim shard.
 *
 * @param time clocks
 * @param batchIds source of identifiers that never repeat in the fleet
 * @param retention how long segments are kept; far longer than the longest deadline of a request
 * @param maxClaims most claims held in memory; a claim of a new key beyond them is refused
 */
public record ClaimShardOptions(TimeSource time, Supplier<String> batchIds, Duration retention, int maxClaims) {
    /** Checks the retention and the bound. */
    public ClaimShardOptions {
        if (retention.isNegative() || retention.isZero()) {
            throw new IllegalArgumentException("retention " + retention + ": expected a positive duration");
        }
        if (maxClaims <= 0) {
            throw new IllegalArgumentException("maxClaims " + maxClaims + ": expected at least 1");
        }
    }

    /** Returns options without a bound on the claims held. */
    public static ClaimShardOptions of(TimeSource time, Supplier<String> batchIds, Duration retention) {
        return new ClaimShardOptions(time, batchIds, retention, Integer.MAX_VALUE);
    }

    /** Returns these options with a bound on the claims held. */
    public ClaimShardOptions withMaxClaims(int limit) {
        return new ClaimShardOptions(time, batchIds, retention, limit);
    }
}
