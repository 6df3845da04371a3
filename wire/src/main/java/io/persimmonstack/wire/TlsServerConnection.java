package io.persimmonstack.wire;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * Accepted TLS connection that performs its handshake on the first read, on the thread of the connection, so that a
 * slow peer does not block the acceptor thread.
 */
final class TlsServerConnection extends TSocket {
    private static final int HANDSHAKE_TIMEOUT_MS = 5_000;
    private final SSLSocket socket;
    private final Socket rawSocket;
    private final PeerSecurity.MutualTls security;
    private boolean handshakeDone;

    TlsServerConnection(SSLSocket socket, Socket rawSocket, PeerSecurity.MutualTls security)
            throws TTransportException {
        super(socket);
        this.rawSocket = rawSocket;
        this.socket = socket;
        this.security = security;
    }

    /** Returns the TCP socket below TLS. */
    Socket rawSocket() {
        return rawSocket;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws TTransportException {
        if (!handshakeDone) {
            handshake();
            handshakeDone = true;
        }
        return super.read(buffer, offset, length);
    }

    /**
     * Performs the handshake with its own timeout. A failure ends the connection. It is reported as a refusal, except
     * when the peer has disconnected.
     */
    private void handshake() throws TTransportException {
        String peer = String.valueOf(socket.getRemoteSocketAddress());
        try {
            int idleTimeoutMs = socket.getSoTimeout();
            socket.setSoTimeout(HANDSHAKE_TIMEOUT_MS);
            socket.startHandshake();
            socket.setSoTimeout(idleTimeoutMs);
        } catch (SocketException e) {
            throw new TTransportException(TTransportException.NOT_OPEN, e);
        } catch (IOException e) {
            if (!(e.getCause() instanceof EOFException)) {
                security.onRefused().accept(peer, e.getMessage());
            }
            close();
            throw new TTransportException(TTransportException.END_OF_FILE, e);
        }
    }
}
