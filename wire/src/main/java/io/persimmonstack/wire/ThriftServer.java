package io.persimmonstack.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/** Thrift server on one address, with one virtual thread per connection. */
public final class ThriftServer implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final int CLIENT_IDLE_TIMEOUT_MS = 60_000;
    private static final int STOP_WAIT_MS = 1_000;
    private final TThreadPoolServer server;
    private final TServerSocket socket;
    private final ExecutorService connectionExecutor;
    private final Thread acceptor;

    private ThriftServer(
            TThreadPoolServer server, TServerSocket socket, ExecutorService connectionExecutor, Thread acceptor) {
        this.server = server;
        this.socket = socket;
        this.connectionExecutor = connectionExecutor;
        this.acceptor = acceptor;
    }

    /**
     * Starts a server with unencrypted connections.
     *
     * @param address IP address and port to listen on; port 0 for any free port
     * @param processor generated processor that calls the handler
     * @return the running server
     * @throws WireException if the address cannot be bound
     */
    public static ThriftServer start(PeerAddress address, TProcessor processor) throws WireException {
        return start(address, processor, PeerSecurity.plaintext());
    }

    /**
     * Starts a server with the given security.
     *
     * @param address IP address and port to listen on; port 0 for any free port
     * @param processor generated processor that calls the handler
     * @param security authentication of peers
     * @return the running server
     * @throws WireException if the address cannot be bound
     */
    public static ThriftServer start(PeerAddress address, TProcessor processor, PeerSecurity security)
            throws WireException {
        TServerSocket socket = bind(address, security);
        ExecutorService connectionExecutor = Executors.newVirtualThreadPerTaskExecutor();
        TThreadPoolServer server = new TThreadPoolServer(new TThreadPoolServer.Args(socket)
                .processor(processor)
                .executorService(connectionExecutor)
                .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                .protocolFactory(new TCompactProtocol.Factory()));
        Thread acceptor =
                Thread.ofPlatform().daemon().name("thrift-" + address.port()).start(server::serve);
        return new ThriftServer(server, socket, connectionExecutor, acceptor);
    }

    private static TServerSocket bind(PeerAddress address, PeerSecurity security) throws WireException {
        try {
            InetSocketAddress bindAddress = new InetSocketAddress(InetAddress.getByName(address.ip()), address.port());
            TServerSocket.ServerSocketTransportArgs arguments = new TServerSocket.ServerSocketTransportArgs()
                    .bindAddr(bindAddress)
                    .clientTimeout(CLIENT_IDLE_TIMEOUT_MS);
            return switch (security) {
                case PeerSecurity.Plaintext plaintext -> new TServerSocket(arguments);
                case PeerSecurity.MutualTls tls -> new TlsServerSocket(arguments, tls);
            };
        } catch (TTransportException | java.net.UnknownHostException e) {
            throw WireException.notSent(address + ": cannot be bound: " + e.getMessage(), e);
        }
    }

    /** Returns the TCP port that the server listens on; the one chosen by the system if it was started with port 0. */
    public int port() {
        return socket.getServerSocket().getLocalPort();
    }

    @Override
    public void close() {
        server.stop();
        socket.close();
        connectionExecutor.shutdownNow();
        try {
            acceptor.join(STOP_WAIT_MS);
            connectionExecutor.awaitTermination(STOP_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
