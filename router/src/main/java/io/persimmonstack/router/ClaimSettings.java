package io.persimmonstack.router;

import io.persimmonstack.runtime.settings.Setting;

/**
 * Settings of the claim log, which records the claims of idempotency keys. The number of shards must be the same at
 * every router and must not change while claims are retained.
 *
 * @param shards number of shards
 * @param batchIntervalMs shortest time between two segments of a shard in milliseconds
 * @param retentionMinutes time in minutes for which claims and outcomes are kept
 * @param maxHeld most claims that the router holds in memory, at 344 bytes each; further new keys are refused
 * @param maxWaiting most requests that may wait for their claims at once
 */
public record ClaimSettings(
        @Setting(min = 1, max = 4_096, fallback = "16") int shards,
        @Setting(min = 0, max = 10_000, fallback = "5") int batchIntervalMs,
        @Setting(min = 5, max = 100_000, fallback = "1440") int retentionMinutes,

        @Setting(min = 1, max = 100_000_000, fallback = "200000")
        int maxHeld,

        @Setting(min = 1, max = 100_000, fallback = "1000") int maxWaiting) {}
