package io.persimmonstack.router;

import io.persimmonstack.runtime.settings.Setting;

/**
 * Settings of the requests to targets.
 *
 * @param ioThreads number of I/O threads
 * @param connectMs longest wait for a connection in milliseconds
 * @param progressMs time in milliseconds between two parts of an answer after which a request that may be repeated goes
 *     elsewhere, if another attempt is possible
 * @param firstTokenMs the same for the first token of a stream that has begun
 * @param minFirstByteMs shortest such time for the head of an answer
 * @param hedgeAfterMs wait in milliseconds after which an idempotent request for a whole answer is also sent to a
 *     second target; 0 for never
 * @param serviceConcurrency most requests that this router sends to an instance of a plain service at once
 * @param queueBound most requests that may wait for one model, adapter or service
 */
public record TargetSettings(
        @Setting(min = 1, max = 64, fallback = "2") int ioThreads,
        @Setting(min = 1, max = 60_000, fallback = "500") int connectMs,
        @Setting(min = 1, max = 600_000, fallback = "3000") int progressMs,
        @Setting(min = 1, max = 600_000, fallback = "10000") int firstTokenMs,
        @Setting(min = 1, max = 600_000, fallback = "1000") int minFirstByteMs,
        @Setting(min = 0, max = 600_000, fallback = "0") int hedgeAfterMs,
        @Setting(min = 1, max = 100_000, fallback = "64") int serviceConcurrency,
        @Setting(min = 1, max = 100_000, fallback = "1000") int queueBound) {}
