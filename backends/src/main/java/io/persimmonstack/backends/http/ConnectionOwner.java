package io.persimmonstack.backends.http;

import io.persimmonstack.wire.PeerAddress;
import java.util.OptionalInt;

/** Takes connections back after an exchange. Thread-safe. */
interface ConnectionOwner {
    /**
     * Takes back a connection whose exchange is complete.
     *
     * @param connection connection without an exchange
     * @param peerIdleMs how long the peer keeps the idle connection open, in milliseconds; empty if it did not say
     */
    void release(PooledConnection connection, OptionalInt peerIdleMs);

    /** Closes all idle connections to a target after another connection to it timed out. */
    void closeIdle(PeerAddress target);
}
