package io.persimmonstack.backends.http;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Open connection to one target; used by one exchange at a time. */
final class PooledConnection {
    private final PeerAddress target;
    private final ClientConnection connection;
    private final MetricRegistry metrics;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile XnioExecutor.Key expiryTask;

    private PooledConnection(PeerAddress target, ClientConnection connection, MetricRegistry metrics) {
        this.target = target;
        this.connection = connection;
        this.metrics = metrics;
    }

    static PooledConnection wrap(PeerAddress target, ClientConnection connection, MetricRegistry metrics) {
        metrics.counter("http.connections.opened").inc();
        PooledConnection pooled = new PooledConnection(target, connection, metrics);
        connection.addCloseListener(channel -> pooled.recordClose(CloseCause.PEER));
        return pooled;
    }

    PeerAddress target() {
        return target;
    }

    ClientConnection clientConnection() {
        return connection;
    }

    boolean isOpen() {
        return !closed.get() && connection.isOpen();
    }

    long bytesWritten() {
        return connection.getStatistics().getWritten();
    }

    long bytesRead() {
        return connection.getStatistics().getRead();
    }

    /** Runs a task on the thread that owns this connection. */
    void runOnIoThread(Runnable task) {
        try {
            connection.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            recordClose(CloseCause.SHUTDOWN);
            closeSocket();
        }
    }

    void expireAfter(int idleMs, Runnable task) {
        try {
            expiryTask = connection.getIoThread().executeAfter(task, idleMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            close(CloseCause.SHUTDOWN);
        }
    }

    void cancelExpiry() {
        XnioExecutor.Key key = expiryTask;
        if (key != null) {
            key.remove();
        }
    }

    /** Closes the connection on its own thread, because the selector keeps the socket open until its next turn. */
    void close(CloseCause cause) {
        recordClose(cause);
        runOnIoThread(this::closeSocket);
    }

    /** Closes the connection from another thread while its own is kept busy by the other side. */
    void closeFromOtherThread(CloseCause cause) {
        recordClose(cause);
        closeSocket();
    }

    /** Closes the socket itself; the clientConnection's own close first waits up to 10 s for the other side. */
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
