package io.persimmonstack.backends.http;

import io.persimmonstack.wire.PeerAddress;
import io.undertow.UndertowOptions;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Blocking HTTP client with pooled connections. Every wait has a timeout. Thread-safe.
 *
 * <pre>{@code
 * try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
 *         HttpCall call = connector.open(target, HttpRequest.get("/hosts"), HttpTimeouts.of(500, 1000, 1000))) {
 *     use(call.status(), call.readAll(MAX_BYTES));
 * }
 * }</pre>
 */
public final class HttpConnector implements AutoCloseable {
    private static final int CLOSE_TIMEOUT_MS = 1_000;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int BUFFERS_PER_THREAD = 4;
    private static final OptionMap CONNECTION_OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(UndertowOptions.ENABLE_HTTP2, false)
            .set(UndertowOptions.ENABLE_STATISTICS, true)
            .set(UndertowOptions.ENDPOINT_IDENTIFICATION_ALGORITHM, "")
            .getMap();
    private final HttpConnectorOptions options;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;
    private final Optional<CheckedSsl> ssl;
    private final ResponseHeadGuard guard = ResponseHeadGuard.start();
    private final BodyMemory bodyMemory;

    private HttpConnector(HttpConnectorOptions options, XnioWorker worker, ByteBufferPool buffers) {
        this.options = options;
        this.worker = worker;
        this.buffers = buffers;
        this.ssl = options.tls().map(CheckedSsl::of);
        this.pool = ConnectionPool.create(options);
        this.bodyMemory = BodyMemory.ofBytes(options.bodyMemoryBytes());
    }

    /** Returns a connector with its own I/O threads, to be closed after use. */
    public static HttpConnector create(HttpConnectorOptions options) {
        OptionMap workerOptions = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, options.ioThreads())
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.WORKER_NAME, "http")
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
        try {
            XnioWorker worker = Xnio.getInstance().createWorker(workerOptions);
            return new HttpConnector(options, worker, buffers);
        } catch (IOException e) {
            throw new IllegalStateException("I/O worker could not be started", e);
        }
    }

    /**
     * Sends a request and waits for the response head. If an idle connection turns out to be closed before any byte of
     * the request was sent, the request is sent on another connection.
     *
     * @param target address to connect to
     * @param request request to send
     * @param timeouts timeouts of the call
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived; {@link HttpFailure#sent()} tells whether the request may have
     *     arrived
     */
    public HttpCall open(PeerAddress target, HttpRequest request, HttpTimeouts timeouts) throws HttpFailure {
        return open(target, request, timeouts, SilenceWatcher.NEVER_GIVES_UP);
    }

    /**
     * Sends a request as {@link #open(PeerAddress, HttpRequest, HttpTimeouts)} does, and lets a watcher decide whether
     * to give up the call while the peer is silent.
     *
     * @param target address to connect to
     * @param request request to send
     * @param timeouts timeouts of the call
     * @param watcher decides whether to give up a silent peer
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived
     */
    public HttpCall open(PeerAddress target, HttpRequest request, HttpTimeouts timeouts, SilenceWatcher watcher)
            throws HttpFailure {
        Optional<PooledConnection> idle = pool.acquire(target);
        while (idle.isPresent()) {
            try {
                return openCall(idle.get(), request, timeouts, watcher);
            } catch (HttpFailure e) {
                if (e.sent() || e.kind() != HttpFailure.Kind.LOST) {
                    throw e;
                }
            }
            idle = pool.acquire(target);
        }
        PooledConnection opened = connect(target, timeouts.connectMs(), describe(target, request));
        return openCall(opened, request, timeouts, watcher);
    }

    /**
     * Opens a connection without sending a request, which shows that the peer can be reached.
     *
     * @param target address to connect to
     * @param connectMs timeout, in milliseconds
     * @return the connection, to be closed after use
     * @throws HttpFailure if no connection could be opened
     */
    public IdleConnection connect(PeerAddress target, int connectMs) throws HttpFailure {
        return IdleConnection.of(this, connect(target, connectMs, "connect to " + target));
    }

    /**
     * Takes an idle connection from the pool, or opens a new one if there is none.
     *
     * @param target address to connect to
     * @param connectMs timeout for a new connection, in milliseconds
     * @return the connection, to be closed after use
     * @throws HttpFailure if no connection could be opened
     */
    public IdleConnection idleOrNew(PeerAddress target, int connectMs) throws HttpFailure {
        Optional<PooledConnection> idle = pool.acquire(target);
        return idle.isPresent() ? IdleConnection.of(this, idle.get()) : connect(target, connectMs);
    }

    /**
     * Sends a request on a new connection. Meant for requests that may not be repeated: an idle connection may have
     * died without notice, which would leave their outcome unknown.
     *
     * @param target address to connect to
     * @param request request to send
     * @param timeouts timeouts of the call
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived
     */
    public HttpCall openOnNewConnection(PeerAddress target, HttpRequest request, HttpTimeouts timeouts)
            throws HttpFailure {
        return openOnNewConnection(target, request, timeouts, SilenceWatcher.NEVER_GIVES_UP);
    }

    /**
     * Sends a request as {@link #openOnNewConnection(PeerAddress, HttpRequest, HttpTimeouts)} does, and lets a watcher
     * decide whether to give up the call while the peer is silent.
     *
     * @param target address to connect to
     * @param request request to send
     * @param timeouts timeouts of the call
     * @param watcher decides whether to give up a silent peer
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived
     */
    public HttpCall openOnNewConnection(
            PeerAddress target, HttpRequest request, HttpTimeouts timeouts, SilenceWatcher watcher) throws HttpFailure {
        PooledConnection opened = connect(target, timeouts.connectMs(), describe(target, request));
        return openCall(opened, request, timeouts, watcher);
    }

    HttpCall openCall(PooledConnection connection, HttpRequest request, HttpTimeouts timeouts, SilenceWatcher watcher)
            throws HttpFailure {
        return openCall(connection, request, timeouts, watcher, pool);
    }

    HttpCall openCall(
            PooledConnection connection,
            HttpRequest request,
            HttpTimeouts timeouts,
            SilenceWatcher watcher,
            ConnectionOwner owner)
            throws HttpFailure {
        return HttpCall.open(
                connection, owner, request, timeouts, watcher, options.maxBufferedBytes(), bodyMemory, guard);
    }

    /**
     * Leaves a connection without an exchange to the pool.
     *
     * @param connection connection, open or closed
     * @param peerIdleMs how long the peer keeps the idle connection open, in milliseconds; empty if it did not say
     */
    void release(PooledConnection connection, OptionalInt peerIdleMs) {
        pool.release(connection, peerIdleMs);
    }

    /** Closes all idle connections to a target, since they may be silent. */
    public void closeIdle(PeerAddress target) {
        pool.closeIdle(target);
    }

    private static String describe(PeerAddress target, HttpRequest request) {
        return request.method() + " " + target + request.path();
    }

    private PooledConnection connect(PeerAddress target, int connectMs, String description) throws HttpFailure {
        URI uri = URI.create((ssl.isPresent() ? "https://" : "http://") + target.ip() + ":" + target.port());
        CheckedOpening opener = CheckedOpening.on(worker.getIoThread());
        IoFuture<ClientConnection> opening =
                UndertowClient.getInstance().connect(uri, opener, ssl.orElse(null), buffers, CONNECTION_OPTIONS);
        try {
            IoFuture.Status status = opening.awaitInterruptibly(connectMs, TimeUnit.MILLISECONDS);
            if (status == IoFuture.Status.WAITING) {
                abandon(opening);
                String message = description + ": no connection within " + connectMs + " ms";
                throw new HttpFailure(HttpFailure.Kind.CONNECT, message, false, null);
            }
            return PooledConnection.wrap(target, opening.get(), opener.framing(), options.metrics());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abandon(opening);
            throw new HttpFailure(HttpFailure.Kind.CANCELLED, description + ": interrupted", false, e);
        } catch (IOException e) {
            throw new HttpFailure(HttpFailure.Kind.CONNECT, description + ": " + e.getMessage(), false, e);
        }
    }

    /** Cancels a connection attempt, and closes the connection if the attempt succeeds nevertheless. */
    private static void abandon(IoFuture<ClientConnection> opening) {
        opening.cancel();
        opening.addNotifier(
                (future, ignored) -> {
                    if (future.getStatus() == IoFuture.Status.DONE) {
                        closeOpened(future);
                    }
                },
                null);
    }

    private static void closeOpened(IoFuture<? extends ClientConnection> future) {
        try {
            IoUtils.safeClose(future.get());
        } catch (IOException e) {
            throw new IllegalStateException("completed connection attempt reported an error", e);
        }
    }

    @Override
    public void close() {
        pool.close();
        guard.close();
        worker.shutdownNow();
        try {
            worker.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        buffers.close();
    }
}
