package io.persimmonstack.backends.http;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.coordination.hash.ShortKey;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Open connection to one target, used by at most one exchange at a time. */
final class PooledConnection {
    /** Refusals after which the connection is not used again, which bounds what it remembers. */
    private static final int MAX_REFUSALS = 32;

    private final PeerAddress target;
    private final ClientConnection connection;
    private final ResponseFraming framing;
    private final MetricRegistry metrics;
    private final AtomicBoolean closed = new AtomicBoolean();
    /** Keys of the identifiers of the requests that the peer has refused, or failed, on this connection. */
    private final Set<String> refused = ConcurrentHashMap.newKeySet();

    private volatile XnioExecutor.Key expiryTask;
    private volatile OptionalLong peerStartedMs = OptionalLong.empty();

    private PooledConnection(
            PeerAddress target, ClientConnection connection, ResponseFraming framing, MetricRegistry metrics) {
        this.target = target;
        this.connection = connection;
        this.framing = framing;
        this.metrics = metrics;
    }

    /** Wraps a new connection and counts it as opened, and later as closed. */
    static PooledConnection wrap(
            PeerAddress target, ClientConnection connection, ResponseFraming framing, MetricRegistry metrics) {
        metrics.counter("http.connections.opened").inc();
        PooledConnection pooled = new PooledConnection(target, connection, framing, metrics);
        connection.addCloseListener(channel -> pooled.recordClose(CloseCause.PEER));
        return pooled;
    }

    PeerAddress target() {
        return target;
    }

    ClientConnection clientConnection() {
        return connection;
    }

    ResponseFraming framing() {
        return framing;
    }

    boolean isOpen() {
        return !closed.get() && connection.isOpen();
    }

    /** Returns the start time that the process at the other end told, in Unix milliseconds; empty if it did not. */
    OptionalLong peerStartedMs() {
        return peerStartedMs;
    }

    void recordPeerStart(long startedMs) {
        peerStartedMs = OptionalLong.of(startedMs);
    }

    /** Remembers a refused request: the peer might write the same refusal once more if it were sent here again. */
    void recordRefusal(String requestId) {
        refused.add(ShortKey.of(requestId));
    }

    boolean hasRefused(String requestId) {
        return refused.contains(ShortKey.of(requestId));
    }

    /** Returns whether the connection can remember no further refusal. */
    boolean isExhausted() {
        return refused.size() >= MAX_REFUSALS;
    }

    long bytesWritten() {
        return connection.getStatistics().getWritten();
    }

    long bytesRead() {
        return connection.getStatistics().getRead();
    }

    /** Runs a task on the connection's I/O thread; closes the connection if the connector is shutting down. */
    void runOnIoThread(Runnable task) {
        try {
            connection.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            recordClose(CloseCause.SHUTDOWN);
            closeSocket();
        }
    }

    /** Schedules a task on the I/O thread for the time when the idle connection expires. */
    void expireAfter(int idleMs, Runnable task) {
        try {
            expiryTask = connection.getIoThread().executeAfter(task, idleMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            close(CloseCause.SHUTDOWN);
        }
    }

    /** Cancels the task that {@link #expireAfter} scheduled, if it has not run yet. */
    void cancelExpiry() {
        XnioExecutor.Key key = expiryTask;
        if (key != null) {
            key.remove();
        }
    }

    /**
     * Closes the connection on its I/O thread; closed from another thread, the socket would stay open until the
     * selector's next turn.
     */
    void close(CloseCause cause) {
        recordClose(cause);
        runOnIoThread(this::closeSocket);
    }

    /** Closes the connection from another thread, for use while the peer keeps the I/O thread busy. */
    void closeFromOtherThread(CloseCause cause) {
        recordClose(cause);
        closeSocket();
    }

    /** Closes the socket directly, because closing the Undertow client first waits up to 10 s for the peer. */
    private void closeSocket() {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private void recordClose(CloseCause cause) {
        if (closed.compareAndSet(false, true)) {
            metrics.counter(cause.metricName()).inc();
        }
    }
}
