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
import org.apache.thrift.transport.TTransportFactory;

/** Thrift server on one address, with one virtual thread per connection. */
public final class ThriftServer implements AutoCloseable {
    private static final int CHECK_INTERVAL_MS = 250;
    private static final int STOP_WAIT_MS = 1_000;
    private final TThreadPoolServer server;
    private final TServerSocket socket;
    private final ExecutorService connectionExecutor;
    private final Thread acceptor;
    private final Thread checker;

    private ThriftServer(
            TThreadPoolServer server,
            TServerSocket socket,
            ExecutorService connectionExecutor,
            Thread acceptor,
            Thread checker) {
        this.server = server;
        this.socket = socket;
        this.connectionExecutor = connectionExecutor;
        this.acceptor = acceptor;
        this.checker = checker;
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
     * Starts a server with the given security and limits that follow from the heap.
     *
     * @param address IP address and port to listen on; port 0 for any free port
     * @param processor generated processor that calls the handler
     * @param security authentication of peers
     * @return the running server
     * @throws WireException if the address cannot be bound
     */
    public static ThriftServer start(PeerAddress address, TProcessor processor, PeerSecurity security)
            throws WireException {
        return start(address, processor, security, LinkLimits.ofHeap(refusal -> {}));
    }

    /**
     * Starts a server with the given security and limits.
     *
     * @param address IP address and port to listen on; port 0 for any free port
     * @param processor generated processor that calls the handler
     * @param security authentication of peers
     * @param limits bounds on what clients send and hold
     * @return the running server
     * @throws WireException if the address cannot be bound
     */
    public static ThriftServer start(
            PeerAddress address, TProcessor processor, PeerSecurity security, LinkLimits limits) throws WireException {
        TServerSocket socket = bind(address, security);
        LinkConnections connections = new LinkConnections(limits);
        ExecutorService connectionExecutor = Executors.newVirtualThreadPerTaskExecutor();
        // The default factory returns the accepted transport itself.
        TThreadPoolServer server =
                new TThreadPoolServer(new TThreadPoolServer.Args(new LinkServerSocket(socket, connections))
                        .processor(processor)
                        .executorService(connectionExecutor)
                        .transportFactory(new TTransportFactory())
                        .inputProtocolFactory(transport -> new LinkProtocol((LinkTransport) transport))
                        .outputProtocolFactory(new TCompactProtocol.Factory()));
        Thread acceptor =
                Thread.ofPlatform().daemon().name("thrift-" + address.port()).start(server::serve);
        Thread checker = Thread.ofVirtual().name("thrift-check").start(() -> checkAtIntervals(connections));
        return new ThriftServer(server, socket, connectionExecutor, acceptor, checker);
    }

    private static void checkAtIntervals(LinkConnections connections) {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
                connections.closeOverdue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static TServerSocket bind(PeerAddress address, PeerSecurity security) throws WireException {
        try {
            InetSocketAddress bindAddress = new InetSocketAddress(InetAddress.getByName(address.ip()), address.port());
            TServerSocket.ServerSocketTransportArgs arguments = new TServerSocket.ServerSocketTransportArgs()
                    .bindAddr(bindAddress)
                    .clientTimeout(LinkTransport.IDLE_TIMEOUT_MS);
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
        checker.interrupt();
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
