package io.persimmonstack.backends.http;

import io.persimmonstack.wire.PeerAddress;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Idle connections by target, the most recently used first. */
final class ConnectionPool {
    private final Map<PeerAddress, Deque<PooledConnection>> idle = new ConcurrentHashMap<>();
    private final HttpConnectorOptions options;
    private volatile boolean closed;

    private ConnectionPool(HttpConnectorOptions options) {
        this.options = options;
    }

    static ConnectionPool create(HttpConnectorOptions options) {
        return new ConnectionPool(options);
    }

    Optional<PooledConnection> acquire(PeerAddress target) {
        Deque<PooledConnection> connections = idle.get(target);
        if (connections == null) {
            return Optional.empty();
        }
        PooledConnection next;
        while ((next = connections.pollFirst()) != null) {
            next.cancelExpiry();
            if (next.isOpen()) {
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    /**
     * Keeps a connection for the next request.
     *
     * @param connection connection without work
     * @param peerIdleMs time for which the other side says that it keeps it, absent where it says nothing
     */
    void release(PooledConnection connection, OptionalInt peerIdleMs) {
        int idleMs = Math.min(options.idleMs(), peerIdleMs.orElse(options.idleMs()));
        if (!connection.isOpen()) {
            return;
        }
        if (idleMs <= 0) {
            connection.close(CloseCause.IDLE);
            return;
        }
        Deque<PooledConnection> connections =
                idle.computeIfAbsent(connection.target(), target -> new ConcurrentLinkedDeque<>());
        connections.addFirst(connection);
        connection.expireAfter(idleMs, () -> expire(connections, connection));
        if (closed) {
            close();
        } else if (connections.size() > options.maxIdlePerTarget()) {
            closeIfPresent(connections.pollLast(), CloseCause.IDLE);
        }
    }

    /** Closes all idle connections to a target, because one to it fell silent. */
    void closeIdle(PeerAddress target) {
        Deque<PooledConnection> connections = idle.get(target);
        if (connections != null) {
            closeAll(connections, CloseCause.SUSPECT);
        }
    }

    void close() {
        closed = true;
        idle.values().forEach(connections -> closeAll(connections, CloseCause.SHUTDOWN));
    }

    private static void expire(Deque<PooledConnection> connections, PooledConnection connection) {
        if (connections.remove(connection)) {
            connection.close(CloseCause.IDLE);
        }
    }

    private static void closeAll(Deque<PooledConnection> connections, CloseCause cause) {
        PooledConnection next;
        while ((next = connections.pollFirst()) != null) {
            closeIfPresent(next, cause);
        }
    }

    private static void closeIfPresent(PooledConnection connection, CloseCause cause) {
        if (connection != null) {
            connection.cancelExpiry();
            connection.close(cause);
        }
    }
}
