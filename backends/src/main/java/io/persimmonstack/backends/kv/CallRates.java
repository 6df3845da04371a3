package io.persimmonstack.backends.kv;

/** Sets how many calls of the key-value service may begin. */
public interface CallRates {
    /**
     * Changes the budget from now on.
     *
     * @param reads reads and watches that may begin each second
     * @param writes writes that may begin each second
     */
    void perSecond(int reads, int writes);
}
