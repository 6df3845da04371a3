package io.persimmonstack.router.callers;

import io.persimmonstack.router.CallersSettings;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.http.GuardedServer;
import io.persimmonstack.runtime.http.GuardedServerOptions;
import io.persimmonstack.runtime.http.InputRefusal;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/** HTTP/1.1 server that callers connect to, with TLS where the settings name a key store. */
public final class CallersServer implements AutoCloseable {
    /** Part of the heap per connection, of which an idle one needs about 8 KB. */
    private static final int HEAP_BYTES_PER_CONNECTION = 64 * 1024;

    private final GuardedServer server;
    private final Optional<TlsContexts.PortTls> portTls;
    private final PeerAddress address;

    private CallersServer(GuardedServer server, Optional<TlsContexts.PortTls> portTls, PeerAddress address) {
        this.server = server;
        this.portTls = portTls;
        this.address = address;
    }

    /**
     * Starts the server.
     *
     * @param address IP address and port to listen on; port 0 chooses a free port
     * @param settings limits and TLS settings
     * @param handler handler of all requests, whose limits and memory also apply to heads
     * @param onRefusal told of heads and connections that are refused
     * @return the running server
     * @throws ProgramException if the address cannot be bound
     */
    public static CallersServer start(
            PeerAddress address, CallersSettings settings, CallersHandler handler, Consumer<InputRefusal> onRefusal)
            throws ProgramException {
        Optional<TlsContexts.PortTls> portTls = TlsContexts.ofPort(settings.tls());
        GuardedServerOptions options = new GuardedServerOptions(
                settings.ioThreads(),
                GuardedServerOptions.connectionsOfHeap(HEAP_BYTES_PER_CONNECTION),
                settings.maxHeaders(),
                handler::limits,
                handler.memory(),
                onRefusal);
        try {
            GuardedServer server = GuardedServer.start(
                    new InetSocketAddress(address.ip(), address.port()),
                    portTls.map(TlsContexts.PortTls::context),
                    options,
                    handler);
            return new CallersServer(server, portTls, new PeerAddress(address.ip(), server.port()));
        } catch (IOException e) {
            portTls.ifPresent(TlsContexts.PortTls::close);
            throw new ProgramException("callersAddress " + address + ": cannot be bound: " + e.getMessage(), e);
        }
    }

    /** Returns the address that the server listens on, with the port that was bound. */
    public PeerAddress address() {
        return address;
    }

    @Override
    public void close() {
        server.close();
        portTls.ifPresent(TlsContexts.PortTls::close);
    }
}
