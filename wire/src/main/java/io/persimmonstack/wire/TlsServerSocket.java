package io.persimmonstack.wire;

import java.io.IOException;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;

/** Server socket whose connections require a trusted client certificate before any data is read. */
final class TlsServerSocket extends TServerSocket {
    private final PeerSecurity.MutualTls security;

    TlsServerSocket(ServerSocketTransportArgs arguments, PeerSecurity.MutualTls security) throws TTransportException {
        super(arguments);
        this.security = security;
    }

    @Override
    public TSocket accept() throws TTransportException {
        TSocket plain = super.accept();
        try {
            SSLSocket socket =
                    (SSLSocket) security.context().get().getSocketFactory().createSocket(plain.getSocket(), null, true);
            socket.setUseClientMode(false);
            socket.setNeedClientAuth(true);
            return new TlsServerConnection(socket, plain.getSocket(), security);
        } catch (IOException e) {
            plain.close();
            throw new TTransportException(e);
        }
    }
}
