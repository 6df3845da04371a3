package io.persimmonstack.backends.http;

import io.persimmonstack.wire.PeerAddress;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Idle connections by target, most recently used first. Thread-safe. */
final class ConnectionPool implements ConnectionOwner {
    private final Map<PeerAddress, Deque<PooledConnection>> idle = new ConcurrentHashMap<>();
    private final HttpConnectorOptions options;
    private volatile boolean closed;

    private ConnectionPool(HttpConnectorOptions options) {
        this.options = options;
    }

    static ConnectionPool create(HttpConnectorOptions options) {
        return new ConnectionPool(options);
    }

    /** Removes the most recently used open connection to a target from the pool; empty if there is none. */
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

    /** Keeps the connection, or closes it if it may not stay idle, is exhausted or the pool of its target is full. */
    @Override
    public void release(PooledConnection connection, OptionalInt peerIdleMs) {
        int idleMs = Math.min(options.idleMs(), peerIdleMs.orElse(options.idleMs()));
        if (!connection.isOpen()) {
            return;
        }
        if (idleMs <= 0 || connection.isExhausted()) {
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

    @Override
    public void closeIdle(PeerAddress target) {
        Deque<PooledConnection> connections = idle.get(target);
        if (connections != null) {
            closeAll(connections, CloseCause.SUSPECT);
        }
    }

    /** Closes all idle connections, and every connection that is released later. */
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
