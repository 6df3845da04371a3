package io.persimmonstack.runtime.http;

import io.undertow.Handlers;
import io.undertow.protocols.ssl.UndertowXnioSsl;
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
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server on one address that bounds what its clients send before a request and their connections. With TLS the
 * bounds apply to the decrypted bytes; a handshake that does not end counts as an idle connection.
 */
public final class GuardedServer implements AutoCloseable {
    private final XnioWorker worker;
    private final GuardedServerOptions options;
    private final HttpOpenListener http;
    private final Map<XnioIoThread, GuardedListener> guards = new ConcurrentHashMap<>();
    private final Map<XnioIoThread, XnioExecutor.Key> checks = new ConcurrentHashMap<>();
    private AcceptingChannel<? extends StreamConnection> channel;

    private GuardedServer(XnioWorker worker, GuardedServerOptions options) {
        this.worker = worker;
        this.options = options;
        this.http = GuardedOptions.httpListener(options.maxHeaders());
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
        XnioWorker worker = GuardedOptions.startWorker(options.ioThreads());
        GuardedServer server = new GuardedServer(worker, options);
        server.http.setRootHandler(
                FatalErrorHandler.wrap(server.createGuard().checkingHeads(Handlers.httpContinueRead(handler))));
        try {
            server.listen(address, tls);
            return server;
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    private void listen(InetSocketAddress address, Optional<SSLContext> tls) throws IOException {
        OptionMap socketOptions = GuardedOptions.socket(options.ioThreads(), options.maxConnectionsPerThread());
        ChannelListener<StreamConnection> accepted =
                connection -> guardOf(connection.getIoThread()).handleEvent(connection);
        if (tls.isPresent()) {
            channel = new UndertowXnioSsl(GuardedOptions.xnio(), OptionMap.EMPTY, tls.get())
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
                    added.executeAtInterval(
                            () -> closeOverdue(guard), GuardedOptions.CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS));
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
