package io.persimmonstack.runtime.http;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server on one address that bounds what its clients send before a request and their connections. With TLS the
 * bounds apply to the decrypted bytes; a handshake that does not end counts as an idle connection.
 */
public final class GuardedServer implements AutoCloseable {
    private static final int BUFFER_BYTES = 4 * 1024;
    private static final int BACKLOG = 1_000;
    /** Connections over the bound of an I/O thread below which accepting goes on; it pauses at twice as many. */
    private static final int ACCEPTED_AT_ONCE = 8;

    /** Interval at which connections are checked for being overdue; small against the timeouts. */
    private static final int CHECK_INTERVAL_MS = 250;

    private final XnioWorker worker;
    private final GuardedServerOptions options;
    private final HttpOpenListener http;
    private final Map<XnioIoThread, GuardedListener> guards = new ConcurrentHashMap<>();
    private final Map<XnioIoThread, XnioExecutor.Key> checks = new ConcurrentHashMap<>();
    private AcceptingChannel<? extends StreamConnection> channel;

    private GuardedServer(XnioWorker worker, GuardedServerOptions options) {
        this.worker = worker;
        this.options = options;
        // Limits of Undertow itself, above those that the guards apply.
        this.http = new HttpOpenListener(
                new DefaultByteBufferPool(false, BUFFER_BYTES),
                OptionMap.builder()
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .set(UndertowOptions.MAX_ENTITY_SIZE, (long) Integer.MAX_VALUE)
                        .set(UndertowOptions.MAX_HEADER_SIZE, 2 << 20)
                        .set(UndertowOptions.MAX_HEADERS, options.maxHeaders())
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .set(UndertowOptions.DECODE_URL, false)
                        .getMap());
    }

    /**
     * Starts a server.
     *
     * @param address IP address and port to listen on; port 0 for any free port
     * @param tls TLS of the port, empty for plain HTTP
     * @param options bounds on clients
     * @param handler handler of all requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static GuardedServer start(
            InetSocketAddress address, Optional<SSLContext> tls, GuardedServerOptions options, HttpHandler handler)
            throws IOException {
        Xnio xnio = Xnio.getInstance(Undertow.class.getClassLoader());
        XnioWorker worker = xnio.createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, options.ioThreads())
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
        GuardedServer server = new GuardedServer(worker, options);
        server.http.setRootHandler(
                FatalErrorHandler.wrap(server.createGuard().checkingHeads(Handlers.httpContinueRead(handler))));
        try {
            server.listen(xnio, address, tls);
            return server;
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    private void listen(Xnio xnio, InetSocketAddress address, Optional<SSLContext> tls) throws IOException {
        int perThread = options.maxConnectionsPerThread();
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, options.ioThreads())
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, options.ioThreads() * (perThread + 2 * ACCEPTED_AT_ONCE))
                // Above the bound, so that accepting goes on while the guard has as many connections as it may.
                .set(Options.CONNECTION_LOW_WATER, options.ioThreads() * (perThread + ACCEPTED_AT_ONCE))
                .getMap();
        ChannelListener<StreamConnection> accepted =
                connection -> guardOf(connection.getIoThread()).handleEvent(connection);
        if (tls.isPresent()) {
            channel = new UndertowXnioSsl(xnio, OptionMap.EMPTY, tls.get())
                    .createSslConnectionServer(
                            worker, address, ChannelListeners.openListenerAdapter(accepted), socketOptions);
        } else {
            channel = worker.createStreamConnectionServer(
                    address, ChannelListeners.openListenerAdapter(accepted), socketOptions);
        }
        channel.resumeAccepts();
    }

    /** Returns the guard of the connections of an I/O thread; each is used on that thread alone. */
    private GuardedListener guardOf(XnioIoThread thread) {
        return guards.computeIfAbsent(thread, added -> {
            GuardedListener guard = createGuard();
            checks.put(
                    added,
                    added.executeAtInterval(() -> closeOverdue(guard), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS));
            return guard;
        });
    }

    private void closeOverdue(GuardedListener guard) {
        guard.closeOverdue();
        options.answerTimeoutMs().ifPresent(guard::closeUnanswered);
    }

    private GuardedListener createGuard() {
        return GuardedListener.of(
                http, options.maxConnectionsPerThread(), options.limits(), options.memory(), options.onRefusal());
    }

    /** Returns the TCP port that the server listens on; the one chosen by the system if it was started with port 0. */
    public int port() {
        return channel.getLocalAddress(InetSocketAddress.class).getPort();
    }

    @Override
    public void close() {
        checks.values().forEach(XnioExecutor.Key::remove);
        IoUtils.safeClose(channel);
        WorkerShutdown.stop(worker);
    }
}
