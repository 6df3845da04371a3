package io.persimmonstack.backends.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Opens one connection on an I/O thread and puts the check of its framing in place before Undertow's client reads from
 * it. It stands in for the I/O thread since the client offers no other access to a connection; it is never started.
 */
final class CheckedOpening extends XnioIoThread {
    private final XnioIoThread ioThread;
    private final ResponseFraming framing = ResponseFraming.begin();

    private CheckedOpening(XnioIoThread ioThread) {
        super(ioThread.getWorker(), ioThread.getNumber());
        this.ioThread = ioThread;
    }

    static CheckedOpening on(XnioIoThread ioThread) {
        return new CheckedOpening(ioThread);
    }

    /** Returns the framing of the responses on the connection. */
    ResponseFraming framing() {
        return framing;
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return ioThread.openStreamConnection(destination, checked(openListener), options);
    }

    /** Returns a listener that puts the check in place before it calls another one. */
    <T extends StreamConnection> ChannelListener<T> checked(ChannelListener<? super T> openListener) {
        return connection -> {
            ConduitStreamSourceChannel source = connection.getSourceChannel();
            source.setConduit(FramingConduit.of(source.getConduit(), framing));
            openListener.handleEvent(connection);
        };
    }

    @Override
    public void execute(Runnable command) {
        ioThread.execute(command);
    }

    @Override
    public XnioExecutor.Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return ioThread.executeAfter(command, time, unit);
    }

    @Override
    public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return ioThread.executeAtInterval(command, time, unit);
    }
}
