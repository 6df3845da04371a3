package io.persimmonstack.wire;

import io.persimmonstack.wire.gen.WireRefusal;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TServiceClient;
import org.apache.thrift.TServiceClientFactory;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * Connection pool for clients of one Thrift service, keyed by peer address. A connection that failed or timed out is
 * closed instead of being returned to the pool, so each broken connection fails at most one call. Thread-safe.
 *
 * <pre>{@code
 * ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 500);
 * Updates updates = peers.call(address, 1_000, client -> client.probe(self, mine));
 * }</pre>
 *
 * @param <C> generated client type
 */
public final class ThriftPeers<C extends TServiceClient> implements AutoCloseable {
    private static final int MAX_IDLE_CONNECTIONS_PER_PEER = 8;
    private static final int MAX_FRAME_BYTES = 16 << 20;
    /** Longest idle time of a pooled connection; shorter than the idle timeout of {@link ThriftServer}. */
    private static final long MAX_IDLE_NANOS = 30_000_000_000L;

    /**
     * Function that makes one call on a connected client.
     *
     * @param <C> generated client type
     * @param <T> type of the answer
     */
    public interface Call<C, T> {
        /**
         * Makes the call and returns its answer.
         *
         * @param client connected client
         * @return the answer
         * @throws TException if the call failed or was refused
         */
        T invoke(C client) throws TException;
    }

    /** Connection with its client and the {@link System#nanoTime()} since which it has been idle. */
    private record Connection<C>(TSocket socket, TTransport transport, C client, long idleSinceNanos) {
        Connection<C> withIdleSinceNow() {
            return new Connection<>(socket, transport, client, System.nanoTime());
        }
    }

    private final TServiceClientFactory<C> factory;
    private final int connectTimeoutMs;
    private final PeerSecurity security;
    private final Map<PeerAddress, Deque<Connection<C>>> idleConnections = new ConcurrentHashMap<>();

    private ThriftPeers(TServiceClientFactory<C> factory, int connectTimeoutMs, PeerSecurity security) {
        this.factory = factory;
        this.connectTimeoutMs = connectTimeoutMs;
        this.security = security;
    }

    /**
     * Creates a pool of unencrypted connections.
     *
     * @param factory generated client factory
     * @param connectTimeoutMs connect timeout in milliseconds
     * @param <C> generated client type
     * @return an empty pool
     */
    public static <C extends TServiceClient> ThriftPeers<C> of(TServiceClientFactory<C> factory, int connectTimeoutMs) {
        return of(factory, connectTimeoutMs, PeerSecurity.plaintext());
    }

    /**
     * Creates a pool of connections with the given security.
     *
     * @param factory generated client factory
     * @param connectTimeoutMs connect timeout, also the read timeout during the TLS handshake, in milliseconds
     * @param security authentication of peers
     * @param <C> generated client type
     * @return an empty pool
     */
    public static <C extends TServiceClient> ThriftPeers<C> of(
            TServiceClientFactory<C> factory, int connectTimeoutMs, PeerSecurity security) {
        return new ThriftPeers<>(factory, connectTimeoutMs, security);
    }

    /**
     * Calls a peer and waits for its answer.
     *
     * @param address peer to call
     * @param timeoutMs read timeout while waiting for the answer, in milliseconds
     * @param call call to make
     * @param <T> type of the answer
     * @return the answer
     * @throws WireException if the call failed or was refused; its progress says whether it may have been executed
     */
    public <T> T call(PeerAddress address, int timeoutMs, Call<C, T> call) throws WireException {
        Connection<C> connection = borrow(address);
        boolean reusable = false;
        try {
            connection.socket().setTimeout(timeoutMs);
            T answer = call.invoke(connection.client());
            reusable = true;
            return answer;
        } catch (WireRefusal e) {
            reusable = true;
            throw WireException.refused(address + " refused: " + e.getReason(), e, e.getCode());
        } catch (TException e) {
            closeIfSilent(address, e);
            throw WireException.unknown(address + ": no answer: " + e.getMessage(), e);
        } finally {
            release(address, connection, reusable);
        }
    }

    /** Closes the idle connections to a peer after a timeout, since they may have fallen silent with this one. */
    private void closeIfSilent(PeerAddress address, TException failure) {
        boolean timedOut = failure instanceof TTransportException transport
                && transport.getType() == TTransportException.TIMED_OUT;
        Deque<Connection<C>> pool = idleConnections.get(address);
        if (!timedOut || pool == null) {
            return;
        }
        for (Connection<C> idle = pool.pollFirst(); idle != null; idle = pool.pollFirst()) {
            idle.transport().close();
        }
    }

    /** Returns a pooled connection to a peer, or a new one where none is open and recently used. */
    private Connection<C> borrow(PeerAddress address) throws WireException {
        Deque<Connection<C>> pool = idleConnections.computeIfAbsent(address, ignored -> new ConcurrentLinkedDeque<>());
        for (Connection<C> pooled = pool.pollFirst(); pooled != null; pooled = pool.pollFirst()) {
            if (System.nanoTime() - pooled.idleSinceNanos() < MAX_IDLE_NANOS
                    && pooled.transport().isOpen()) {
                return pooled;
            }
            pooled.transport().close();
        }
        return connect(address);
    }

    private Connection<C> connect(PeerAddress address) throws WireException {
        try {
            TConfiguration configuration =
                    TConfiguration.custom().setMaxFrameSize(MAX_FRAME_BYTES).build();
            TSocket socket = socket(configuration, address);
            TTransport transport = new TFramedTransport(socket, MAX_FRAME_BYTES);
            return new Connection<>(
                    socket, transport, factory.getClient(new TCompactProtocol(transport)), System.nanoTime());
        } catch (TTransportException | IOException e) {
            throw WireException.notSent(address + ": cannot connect: " + e.getMessage(), e);
        }
    }

    /** Opens a socket to a peer, after the TLS handshake where security requires it. */
    private TSocket socket(TConfiguration configuration, PeerAddress address) throws TTransportException, IOException {
        switch (security) {
            case PeerSecurity.Plaintext plaintext -> {
                TSocket socket = new TSocket(configuration, address.ip(), address.port(), connectTimeoutMs);
                socket.open();
                return socket;
            }
            case PeerSecurity.MutualTls tls -> {
                return new TSocket(tlsSocket(tls, address));
            }
        }
    }

    private Socket tlsSocket(PeerSecurity.MutualTls tls, PeerAddress address) throws IOException {
        Socket plain = new Socket();
        try {
            plain.setTcpNoDelay(true);
            plain.connect(new InetSocketAddress(address.ip(), address.port()), connectTimeoutMs);
            plain.setSoTimeout(connectTimeoutMs);
            SSLSocket socket = (SSLSocket)
                    tls.context().get().getSocketFactory().createSocket(plain, address.ip(), address.port(), true);
            socket.startHandshake();
            return socket;
        } catch (IOException e) {
            plain.close();
            throw e;
        }
    }

    /** Returns a connection to the pool, or closes it if it is not reusable or the pool is full or evicted. */
    private void release(PeerAddress address, Connection<C> connection, boolean reusable) {
        Deque<Connection<C>> pool = idleConnections.get(address);
        if (!reusable || pool == null || pool.size() >= MAX_IDLE_CONNECTIONS_PER_PEER) {
            connection.transport().close();
            return;
        }
        pool.addFirst(connection.withIdleSinceNow());
    }

    /**
     * Closes the idle connections to a peer that has left, and removes its pool.
     *
     * @param address peer that has left
     */
    public void evict(PeerAddress address) {
        Deque<Connection<C>> pool = idleConnections.remove(address);
        if (pool != null) {
            pool.forEach(connection -> connection.transport().close());
        }
    }

    @Override
    public void close() {
        idleConnections.keySet().forEach(this::evict);
    }
}
