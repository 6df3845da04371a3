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
    private volatile XnioExecutor.Key expiry;

    private PooledConnection(PeerAddress target, ClientConnection connection, MetricRegistry metrics) {
        this.target = target;
        this.connection = connection;
        this.metrics = metrics;
    }

    static PooledConnection opened(PeerAddress target, ClientConnection connection, MetricRegistry metrics) {
        metrics.counter("http.connections.opened").inc();
        PooledConnection opened = new PooledConnection(target, connection, metrics);
        connection.addCloseListener(channel -> opened.countClose(CloseCause.PEER));
        return opened;
    }

    PeerAddress target() {
        return target;
    }

    ClientConnection client() {
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
    void onIoThread(Runnable task) {
        try {
            connection.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            countClose(CloseCause.SHUTDOWN);
            closeAtOnce();
        }
    }

    void expireAfter(int idleMs, Runnable task) {
        try {
            expiry = connection.getIoThread().executeAfter(task, idleMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            close(CloseCause.SHUTDOWN);
        }
    }

    void cancelExpiry() {
        XnioExecutor.Key key = expiry;
        if (key != null) {
            key.remove();
        }
    }

    /** Closes the connection on its own thread, because the selector keeps the socket open until its next turn. */
    void close(CloseCause cause) {
        countClose(cause);
        onIoThread(this::closeAtOnce);
    }

    /** Closes the connection from another thread while its own is kept busy by the other side. */
    void closeFromOutside(CloseCause cause) {
        countClose(cause);
        closeAtOnce();
    }

    /** Closes the socket itself; the client's own close first waits up to 10 s for the other side. */
    private void closeAtOnce() {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private void countClose(CloseCause cause) {
        if (closed.compareAndSet(false, true)) {
            metrics.counter(cause.metricName()).inc();
        }
    }
}
