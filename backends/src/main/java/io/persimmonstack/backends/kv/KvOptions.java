package io.persimmonstack.backends.kv;

import io.persimmonstack.backends.http.HttpTimeouts;

/**
 * Waits and call budget of one node towards the key-value service.
 *
 * @param connectMs until a connection is open, in milliseconds
 * @param callMs until an answer begins, and between its parts, in milliseconds
 * @param watchSilenceMs time without a line after which a watch is taken for dead, in milliseconds
 * @param readsPerSecond reads and watches that may begin each second
 * @param writesPerSecond writes that may begin each second
 * @param budgetWaitMs longest wait for the budget before a call is refused, in milliseconds
 */
public record KvOptions(
        int connectMs, int callMs, int watchSilenceMs, int readsPerSecond, int writesPerSecond, int budgetWaitMs) {
    private static final int DEFAULT_CONNECT_MS = 1_000;
    private static final int DEFAULT_CALL_MS = 2_000;
    private static final int DEFAULT_WATCH_SILENCE_MS = 15_000;
    private static final int DEFAULT_READS_PER_SECOND = 100;
    private static final int DEFAULT_WRITES_PER_SECOND = 30;
    private static final int DEFAULT_BUDGET_WAIT_MS = 1_000;

    /** Returns the usual waits and budget. */
    public static KvOptions defaults() {
        return new KvOptions(
                DEFAULT_CONNECT_MS, DEFAULT_CALL_MS, DEFAULT_WATCH_SILENCE_MS, DEFAULT_READS_PER_SECOND, DEFAULT_WRITES_PER_SECOND, DEFAULT_BUDGET_WAIT_MS);
    }

    /** Returns these options with another budget of calls. */
    public KvOptions withBudget(int maxReads, int maxWrites, int maxWaitMs) {
        return new KvOptions(connectMs, callMs, watchSilenceMs, maxReads, maxWrites, maxWaitMs);
    }

    /** Returns these options with other waits in milliseconds. */
    public KvOptions withTimeouts(int callTimeoutMs, int watchTimeoutMs) {
        return new KvOptions(connectMs, callTimeoutMs, watchTimeoutMs, readsPerSecond, writesPerSecond, budgetWaitMs);
    }

    HttpTimeouts callTimeouts() {
        return HttpTimeouts.of(connectMs, callMs, callMs);
    }

    HttpTimeouts watchTimeouts() {
        return HttpTimeouts.of(connectMs, callMs, watchSilenceMs);
    }
}
