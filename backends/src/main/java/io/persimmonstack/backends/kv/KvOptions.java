package io.persimmonstack.backends.kv;

import io.persimmonstack.backends.http.HttpTimeouts;

/**
 * Timeouts and call budget of one node for the key-value service.
 *
 * @param connectMs timeout for opening a connection, in milliseconds
 * @param callMs timeout for the response head and between two parts of the body, in milliseconds
 * @param watchSilenceMs time without data after which a watch is considered dead, in milliseconds
 * @param readsPerSecond number of reads and new watches that may start per second
 * @param writesPerSecond number of writes that may start per second
 * @param budgetWaitMs longest time that a call waits for the budget before it is refused, in milliseconds
 */
public record KvOptions(
        int connectMs, int callMs, int watchSilenceMs, int readsPerSecond, int writesPerSecond, int budgetWaitMs) {
    private static final int DEFAULT_CONNECT_MS = 1_000;
    private static final int DEFAULT_CALL_MS = 2_000;
    private static final int DEFAULT_WATCH_SILENCE_MS = 15_000;
    private static final int DEFAULT_READS_PER_SECOND = 100;
    private static final int DEFAULT_WRITES_PER_SECOND = 30;
    private static final int DEFAULT_BUDGET_WAIT_MS = 1_000;

    /** Returns the default timeouts and call budget. */
    public static KvOptions defaults() {
        return new KvOptions(
                DEFAULT_CONNECT_MS,
                DEFAULT_CALL_MS,
                DEFAULT_WATCH_SILENCE_MS,
                DEFAULT_READS_PER_SECOND,
                DEFAULT_WRITES_PER_SECOND,
                DEFAULT_BUDGET_WAIT_MS);
    }

    /**
     * Returns a copy with another call budget.
     *
     * @param maxReads number of reads and new watches that may start per second
     * @param maxWrites number of writes that may start per second
     * @param maxWaitMs longest time that a call waits for the budget, in milliseconds
     */
    public KvOptions withBudget(int maxReads, int maxWrites, int maxWaitMs) {
        return new KvOptions(connectMs, callMs, watchSilenceMs, maxReads, maxWrites, maxWaitMs);
    }

    /**
     * Returns a copy with other timeouts.
     *
     * @param callTimeoutMs timeout of calls, in milliseconds
     * @param watchTimeoutMs time without data after which a watch is considered dead, in milliseconds
     */
    public KvOptions withTimeouts(int callTimeoutMs, int watchTimeoutMs) {
        return new KvOptions(connectMs, callTimeoutMs, watchTimeoutMs, readsPerSecond, writesPerSecond, budgetWaitMs);
    }

    /** Returns the HTTP timeouts of reads and writes. */
    HttpTimeouts callTimeouts() {
        return HttpTimeouts.of(connectMs, callMs, callMs);
    }

    /** Returns the HTTP timeouts of watches. */
    HttpTimeouts watchTimeouts() {
        return HttpTimeouts.of(connectMs, callMs, watchSilenceMs);
    }
}
