package io.persimmonstack.node.callers;

import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.http.BodilessHandler;
import io.persimmonstack.runtime.http.FatalErrorHandler;
import io.persimmonstack.runtime.http.GuardedListener;
import io.persimmonstack.runtime.http.WorkerShutdown;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** HTTP server with one I/O thread that listens on several addresses, each of which has its own handler. */
public final class HttpListeners implements AutoCloseable {
    private static final int MAX_HEADERS = 200;
    private static final int BUFFER_BYTES = 4 * 1024;
    private static final int BACKLOG = 1_000;
    /** Connections over the bound that may be accepted before the guard closes others; each takes a descriptor. */
    private static final int ACCEPTED_AT_ONCE = 8;

    /** Interval at which connections are checked for being overdue; small against the timeouts. */
    private static final int CHECK_INTERVAL_MS = 250;

    /** Limits of Undertow itself, above those that the configuration may have; the guards apply the latter. */
    private static final OptionMap HTTP_OPTIONS = OptionMap.builder()
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
            .set(UndertowOptions.MAX_ENTITY_SIZE, (long) Integer.MAX_VALUE)
            .set(UndertowOptions.MAX_HEADER_SIZE, 1 << 20)
            .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .set(UndertowOptions.DECODE_URL, false)
            .getMap();

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final ListenerOptions options;
    private final List<GuardedListener> guards = new ArrayList<>();
    private final List<AcceptingChannel<StreamConnection>> channels = new ArrayList<>();
    private XnioExecutor.Key check;

    private HttpListeners(XnioWorker worker, ListenerOptions options) {
        this.worker = worker;
        this.options = options;
    }

    /**
     * Starts the server.
     *
     * @param handlers handler of each address; ports must be distinct
     * @param options bounds on what clients send
     * @return the running server
     * @throws ProgramException if an address cannot be bound
     */
    public static HttpListeners start(Map<PeerAddress, HttpHandler> handlers, ListenerOptions options)
            throws ProgramException {
        HttpListeners listeners = new HttpListeners(createWorker(), options);
        try {
            for (Map.Entry<PeerAddress, HttpHandler> entry : handlers.entrySet()) {
                listeners.listen(entry.getKey(), entry.getValue());
            }
        } catch (IOException e) {
            listeners.close();
            throw new ProgramException("listen " + handlers.keySet() + ": cannot be bound: " + e.getMessage(), e);
        }
        listeners.accept();
        return listeners;
    }

    private static XnioWorker createWorker() throws ProgramException {
        OptionMap workerOptions = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        try {
            return Xnio.getInstance(Undertow.class.getClassLoader()).createWorker(workerOptions);
        } catch (IOException e) {
            throw new ProgramException("HTTP server: cannot be started: " + e.getMessage(), e);
        }
    }

    private void listen(PeerAddress address, HttpHandler handler) throws IOException {
        HttpOpenListener http = new HttpOpenListener(buffers, HTTP_OPTIONS);
        int maxConnections = options.maxConnections(address);
        GuardedListener guard =
                GuardedListener.of(http, maxConnections, options.limits(), options.memory(), options.onRefusal());
        HttpHandler served =
                address.equals(options.callers()) ? handler : BodilessHandler.before(handler, options.onRefusal());
        http.setRootHandler(FatalErrorHandler.wrap(guard.checkingHeads(Handlers.httpContinueRead(served))));
        guards.add(guard);
        channels.add(worker.createStreamConnectionServer(
                new InetSocketAddress(address.ip(), address.port()),
                ChannelListeners.openListenerAdapter(guard),
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .set(Options.CONNECTION_HIGH_WATER, maxConnections + 2 * ACCEPTED_AT_ONCE)
                        // Above the bound, so that accepting goes on while the guard has as many connections as it may.
                        .set(Options.CONNECTION_LOW_WATER, maxConnections + ACCEPTED_AT_ONCE)
                        .getMap()));
    }

    private void accept() {
        channels.forEach(AcceptingChannel::resumeAccepts);
        check = worker.getIoThread()
                .executeAtInterval(
                        () -> guards.forEach(GuardedListener::closeOverdue), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (check != null) {
            check.remove();
        }
        channels.forEach(IoUtils::safeClose);
        WorkerShutdown.stop(worker);
    }
}
