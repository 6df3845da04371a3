package io.persimmonstack.backends.http;

import io.persimmonstack.wire.PeerAddress;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Connection that one caller has taken for its next request. All requests on it reach the same process. Closing it
 * without a request leaves it to the pool. Not thread-safe.
 *
 * <pre>{@code
 * try (IdleConnection connection = connector.connect(target, 200);
 *         HttpCall call = connection.open(request, timeouts, SilenceWatcher.NEVER_GIVES_UP)) {
 *     use(call.status(), call.readAll(MAX_BYTES));
 * }
 * }</pre>
 */
public final class IdleConnection implements AutoCloseable {
    private final HttpConnector connector;
    private final PooledConnection connection;
    private OptionalInt peerIdleMs = OptionalInt.empty();
    private boolean used;

    private IdleConnection(HttpConnector connector, PooledConnection connection) {
        this.connector = connector;
        this.connection = connection;
    }

    static IdleConnection of(HttpConnector connector, PooledConnection connection) {
        return new IdleConnection(connector, connection);
    }

    /**
     * Sends a request and waits for the response head. May be called once; the call returns the connection to the pool.
     *
     * @param request request to send
     * @param timeouts timeouts of the call; the one for connecting does not apply
     * @param watcher decides whether to give up a silent peer
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived
     */
    public HttpCall open(HttpRequest request, HttpTimeouts timeouts, SilenceWatcher watcher) throws HttpFailure {
        used = true;
        return connector.openCall(connection, request, timeouts, watcher);
    }

    /**
     * Sends a request that precedes the one of {@link #open} and waits for the response head. The call has to be read
     * to its end and closed; {@link #isOpen} tells whether the connection can then be used further.
     *
     * @param request request to send
     * @param timeouts timeouts of the call; the one for connecting does not apply
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived
     */
    public HttpCall ask(HttpRequest request, HttpTimeouts timeouts) throws HttpFailure {
        return connector.openCall(connection, request, timeouts, SilenceWatcher.NEVER_GIVES_UP, new Holder());
    }

    /** Returns whether requests can still be sent, as far as is known. */
    public boolean isOpen() {
        return connection.isOpen();
    }

    /**
     * Returns the start time of the process at the other end, in Unix milliseconds; empty if {@link #recordPeerStart}
     * was not called since the connection was opened.
     */
    public OptionalLong peerStartedMs() {
        return connection.peerStartedMs();
    }

    /** Records the start time that the process at the other end told on this connection, in Unix milliseconds. */
    public void recordPeerStart(long startedMs) {
        connection.recordPeerStart(startedMs);
    }

    /** Closes the connection, since what the peer sends on it cannot be understood. */
    public void discard() {
        used = true;
        connection.close(CloseCause.SUSPECT);
    }

    @Override
    public void close() {
        if (!used) {
            used = true;
            connector.release(connection, peerIdleMs);
        }
    }

    /** Keeps the connection here after a request that precedes the last one. */
    private final class Holder implements ConnectionOwner {
        @Override
        public void release(PooledConnection released, OptionalInt newPeerIdleMs) {
            peerIdleMs = newPeerIdleMs;
        }

        @Override
        public void closeIdle(PeerAddress target) {
            connector.closeIdle(target);
        }
    }
}
