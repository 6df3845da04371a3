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
    private static final int CONNECT_MS = 1_000;
    private static final int CALL_MS = 2_000;
    private static final int WATCH_SILENCE_MS = 15_000;
    private static final int READS_PER_SECOND = 100;
    private static final int WRITES_PER_SECOND = 30;
    private static final int BUDGET_WAIT_MS = 1_000;

    /** Returns the usual waits and budget. */
    public static KvOptions defaults() {
        return new KvOptions(
                CONNECT_MS, CALL_MS, WATCH_SILENCE_MS, READS_PER_SECOND, WRITES_PER_SECOND, BUDGET_WAIT_MS);
    }

    /** Returns these options with another budget of calls. */
    public KvOptions withBudget(int reads, int writes, int waitMs) {
        return new KvOptions(connectMs, callMs, watchSilenceMs, reads, writes, waitMs);
    }

    /** Returns these options with other waits in milliseconds. */
    public KvOptions withWaits(int call, int watchSilence) {
        return new KvOptions(connectMs, call, watchSilence, readsPerSecond, writesPerSecond, budgetWaitMs);
    }

    HttpTimeouts callTimeouts() {
        return HttpTimeouts.of(connectMs, callMs, callMs);
    }

    HttpTimeouts watchTimeouts() {
        return HttpTimeouts.of(connectMs, callMs, watchSilenceMs);
    }
}
