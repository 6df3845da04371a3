package io.persimmonstack.backends.http;

import java.util.function.BooleanSupplier;

/**
 * Decides whether to give up a call whose peer sends nothing. Silence alone does not show that a peer has failed, so a
 * call without a watcher waits until its timeouts. Called on the thread that waits for the response.
 */
public interface SilenceWatcher {
    /** Watcher that never gives up a call. */
    SilenceWatcher PATIENT = new SilenceWatcher() {
        @Override
        public int silentAfterMs() {
            return Integer.MAX_VALUE;
        }

        @Override
        public boolean giveUp(BooleanSupplier stillSilent) {
            return false;
        }
    };

    /** Returns after how long without any data the peer counts as silent, in milliseconds. */
    int silentAfterMs();

    /**
     * Returns whether to give up the call. Called when the peer has become silent, and again at short intervals while
     * it remains silent.
     *
     * @param stillSilent returns false as soon as the peer has sent something, which should save the call
     */
    boolean giveUp(BooleanSupplier stillSilent);
}
