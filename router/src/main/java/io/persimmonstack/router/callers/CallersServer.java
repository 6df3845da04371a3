package io.persimmonstack.router.callers;

import io.persimmonstack.router.CallersSettings;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Optional;

/** HTTP/1.1 server that callers connect to, with TLS where the settings name a key store. */
public final class CallersServer implements AutoCloseable {
    private final Undertow server;
    private final Optional<TlsContexts.PortTls> portTls;
    private final PeerAddress address;

    private CallersServer(Undertow server, Optional<TlsContexts.PortTls> portTls, PeerAddress address) {
        this.server = server;
        this.portTls = portTls;
        this.address = address;
    }

    /**
     * Starts the server.
     *
     * @param address IP address and port to listen on; port 0 chooses a free port
     * @param settings limits and TLS settings
     * @param handler handler of all requests
     * @return the running server
     * @throws ProgramException if the address cannot be bound
     */
    public static CallersServer start(PeerAddress address, CallersSettings settings, HttpHandler handler)
            throws ProgramException {
        Optional<TlsContexts.PortTls> portTls = TlsContexts.ofPort(settings.tls());
        Undertow server = TlsContexts.listener(address.ip(), address.port(), portTls)
                .setIoThreads(settings.ioThreads())
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) settings.maxBodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.maxHeaderBytes())
                .setServerOption(UndertowOptions.MAX_HEADERS, settings.maxHeaders())
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.receiveTimeoutMs())
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, settings.idleMs())
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setHandler(Handlers.httpContinueRead(handler))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new ProgramException("callersAddress " + address + ": cannot be bound: " + e.getMessage(), e);
        }
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new CallersServer(server, portTls, new PeerAddress(address.ip(), bound.getPort()));
    }

    /** Returns the address that the server listens on, with the port that was bound. */
    public PeerAddress address() {
        return address;
    }

    @Override
    public void close() {
        server.stop();
        portTls.ifPresent(TlsContexts.PortTls::close);
    }
}
