package io.persimmonstack.backends.kv;

/** Adjusts at run time how many calls per second a client of the key-value service may make. */
public interface CallRates {
    /**
     * Changes the limits of later calls.
     *
     * @param readsPerSecond number of reads and new watches that may start per second
     * @param writesPerSecond number of writes that may start per second
     */
    void setCallsPerSecond(int readsPerSecond, int writesPerSecond);
}
