package io.persimmonstack.node.callers;

import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.http.BodilessHandler;
import io.persimmonstack.runtime.http.FatalErrorHandler;
import io.persimmonstack.runtime.http.GuardedListener;
import io.persimmonstack.runtime.http.GuardedOptions;
import io.persimmonstack.runtime.http.WorkerShutdown;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.Handlers;
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
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** HTTP server with one I/O thread that listens on several addresses, each of which has its own handler. */
public final class HttpListeners implements AutoCloseable {
    private static final int IO_THREADS = 1;
    private static final int MAX_HEADERS = 200;
    private final XnioWorker worker;
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
        try {
            return GuardedOptions.startWorker(IO_THREADS);
        } catch (IOException e) {
            throw new ProgramException("HTTP server: cannot be started: " + e.getMessage(), e);
        }
    }

    private void listen(PeerAddress address, HttpHandler handler) throws IOException {
        HttpOpenListener http = GuardedOptions.httpListener(MAX_HEADERS);
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
                GuardedOptions.socket(IO_THREADS, maxConnections)));
    }

    private void accept() {
        channels.forEach(AcceptingChannel::resumeAccepts);
        check = worker.getIoThread()
                .executeAtInterval(
                        () -> guards.forEach(GuardedListener::closeOverdue),
                        GuardedOptions.CHECK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
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
