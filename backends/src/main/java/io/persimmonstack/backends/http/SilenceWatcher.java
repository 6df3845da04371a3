package io.persimmonstack.backends.http;

/**
 * Decides whether to give up a call whose peer sends nothing. Silence alone does not show that a peer has failed, so a
 * call without a watcher waits until its timeouts. Called on the thread that waits for the response.
 */
public interface SilenceWatcher {
    /** Watcher that never gives up a call. */
    SilenceWatcher NEVER_GIVES_UP = new SilenceWatcher() {
        @Override
        public int silentAfterMs() {
            return Integer.MAX_VALUE;
        }

        @Override
        public boolean giveUp(SilentPeer peer) {
            return false;
        }
    };

    /** Returns after how long without any data the peer counts as silent, in milliseconds. */
    int silentAfterMs();

    /**
     * Returns whether to give up the call. Called when the peer has become silent, and again at short intervals while
     * it remains silent.
     *
     * @param peer the silent peer
     */
    boolean giveUp(SilentPeer peer);

    /** Peer of a call that has sent nothing for a while. */
    interface SilentPeer {
        /** Returns false once the peer has sent something, which should save the call, or the call has failed. */
        boolean isStillSilent();

        /** Closes the connection before the watcher has decided, so that the peer stops working on the request. */
        void disconnect();
    }
}
