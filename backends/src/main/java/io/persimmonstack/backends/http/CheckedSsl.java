package io.persimmonstack.backends.http;

import io.undertow.protocols.ssl.UndertowXnioSsl;
import java.net.InetSocketAddress;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;
import org.xnio.ssl.SslConnection;

/** TLS whose connections are checked after decryption if a {@link CheckedOpening} opens them. */
final class CheckedSsl extends UndertowXnioSsl {
    private CheckedSsl(SSLContext context) {
        super(Xnio.getInstance(), OptionMap.EMPTY, context);
    }

    static CheckedSsl of(SSLContext context) {
        return new CheckedSsl(context);
    }

    @Override
    public IoFuture<SslConnection> openSslConnection(
            XnioIoThread opener,
            InetSocketAddress bindAddress,
            InetSocketAddress destination,
            ChannelListener<? super SslConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        if (opener instanceof CheckedOpening opening) {
            return super.openSslConnection(
                    opening.ioThread(), bindAddress, destination, opening.checked(openListener), bindListener, options);
        }
        return super.openSslConnection(opener, bindAddress, destination, openListener, bindListener, options);
    }
}
