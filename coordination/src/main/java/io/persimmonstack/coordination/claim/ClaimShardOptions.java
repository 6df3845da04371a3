package io.persimmonstack.coordination.claim;

import io.persimmonstack.coordination.time.TimeSource;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Options of a claim shard.
 *
 * @param time clocks
 * @param batchIds supplies batch identifiers that are unique in the fleet
 * @param retention how long segments are kept; must be far longer than the longest deadline of a request, since a key
 *     can be claimed again afterwards
 * @param maxClaims maximum number of claims kept in memory; claims of further keys are refused
 */
public record ClaimShardOptions(TimeSource time, Supplier<String> batchIds, Duration retention, int maxClaims) {
    /**
     * Validates the retention and the maximum number of claims.
     *
     * @throws IllegalArgumentException if either is not positive
     */
    public ClaimShardOptions {
        if (retention.isNegative() || retention.isZero()) {
            throw new IllegalArgumentException("retention " + retention + ": expected a positive duration");
        }
        if (maxClaims <= 0) {
            throw new IllegalArgumentException("maxClaims " + maxClaims + ": expected at least 1");
        }
    }

    /** Returns options without a limit on the number of claims. */
    public static ClaimShardOptions of(TimeSource time, Supplier<String> batchIds, Duration retention) {
        return new ClaimShardOptions(time, batchIds, retention, Integer.MAX_VALUE);
    }

    /** Returns a copy of these options with a maximum number of claims. */
    public ClaimShardOptions withMaxClaims(int limit) {
        return new ClaimShardOptions(time, batchIds, retention, limit);
    }
}
