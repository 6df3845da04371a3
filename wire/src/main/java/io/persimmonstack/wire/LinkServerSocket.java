package io.persimmonstack.wire;

import java.net.Socket;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TServerTransport;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/** Accepts connections within the limits of a link. */
final class LinkServerSocket extends TServerTransport {
    private final TServerSocket socket;
    private final LinkConnections connections;

    LinkServerSocket(TServerSocket socket, LinkConnections connections) {
        this.socket = socket;
        this.connections = connections;
    }

    @Override
    public void listen() throws TTransportException {
        socket.listen();
    }

    @Override
    public TTransport accept() throws TTransportException {
        while (true) {
            TSocket accepted = socket.accept();
            LinkTransport connection = new LinkTransport(accepted, rawSocket(accepted), connections);
            if (connections.add(connection)) {
                return connection;
            }
            connection.closeSocket();
        }
    }

    private static Socket rawSocket(TSocket accepted) {
        return accepted instanceof TlsServerConnection tls ? tls.rawSocket() : accepted.getSocket();
    }

    @Override
    public void close() {
        socket.close();
    }

    @Override
    public void interrupt() {
        socket.interrupt();
    }
}
