package io.persimmonstack.router;

import io.persimmonstack.runtime.settings.Setting;

/**
 * The claim log. The number of shards is the same at every router and never changes while claims are retained.
 *
 * @param shards number of shards
 * @param batchIntervalMs shortest time between two segments of a shard
 * @param retentionMinutes how long claims and outcomes are kept
 * @param maxHeld claims that the router holds in memory, 344 bytes each; those of new keys beyond them are refused
 * @param maxWaiting requests that may wait for their claims at once
 */
public record ClaimSettings(
        @Setting(min = 1, max = 4_096, fallback = "16") int shards,
        @Setting(min = 0, max = 10_000, fallback = "5") int batchIntervalMs,
        @Setting(min = 5, max = 100_000, fallback = "1440") int retentionMinutes,

        @Setting(min = 1, max = 100_000_000, fallback = "200000")
        int maxHeld,

        @Setting(min = 1, max = 100_000, fallback = "1000") int maxWaiting) {}
