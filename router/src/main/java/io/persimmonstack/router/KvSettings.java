package io.persimmonstack.router;

import io.persimmonstack.runtime.settings.Setting;

/**
 * Settings of the key-value service and this router's share of its read and write rates.
 *
 * @param endpoint address of the service's JSON gateway
 * @param readsPerSecond most reads and new watches that may start per second
 * @param writesPerSecond most writes that may start per second
 * @param budgetWaitMs longest time in milliseconds that a call waits for these rates before it is refused
 */
public record KvSettings(
        @Setting(form = "ip:port") String endpoint,
        @Setting(min = 1, max = 100_000, fallback = "100") int readsPerSecond,
        @Setting(min = 1, max = 100_000, fallback = "30") int writesPerSecond,
        @Setting(min = 1, max = 60_000, fallback = "1000") int budgetWaitMs) {}
