package io.persimmonstack.backends.kv;

/** Sets how many calls of the key-value service may begin. */
public interface CallRates {
    /**
     * Changes the budget from now on.
     *
     * @param readsPerSecond reads and watches that may begin each second
     * @param writesPerSecond writes that may begin each second
     */
    void setCallsPerSecond(int readsPerSecond, int writesPerSecond);
}
