package io.persimmonstack.runtime.http;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Closes a connection after its last answer: ends the answer's direction at once and the connection when the client has
 * closed it, too. A connection that is closed with unread bytes is reset, so that its client may not see the answer.
 * Undertow itself would have a timer keep each such connection for up to 10 s, with the buffer of its parser, whether
 * or not it is open. Here {@link ConnectionGuard#isOverdue} bounds the wait.
 */
final class LingeringClose {
    /** Longest wait for the client, in milliseconds. */
    static final long MAX_MS = 1_000;

    private static final int DROPPED_BYTES = 512;

    /** What is to be closed; empty once that was cancelled, so that a task that waits for its turn keeps nothing. */
    private final AtomicReference<Optional<Target>> target;

    private record Target(StreamConnection connection, AbstractServerConnection server) {}

    private LingeringClose(Target target) {
        this.target = new AtomicReference<>(Optional.of(target));
    }

    /**
     * Begins to close a connection; may be called on any thread.
     *
     * @param connection connection whose answers have been sent
     * @param last its last exchange
     */
    static LingeringClose begin(StreamConnection connection, HttpServerExchange last) {
        LingeringClose close =
                new LingeringClose(new Target(connection, (AbstractServerConnection) last.getConnection()));
        // After the handlers that the thread is running: the one that read the request may suspend reads at its end.
        connection.getIoThread().execute(close::run);
        return close;
    }

    /** Does nothing any more, since the connection has been closed. */
    void cancel() {
        target.set(Optional.empty());
    }

    private void run() {
        target.getAndSet(Optional.empty()).ifPresent(LingeringClose::close);
    }

    private static void close(Target closed) {
        StreamConnection connection = closed.connection();
        try {
            closed.server().clearChannel();
            endAnswers(connection.getSinkChannel());
            ConduitStreamSourceChannel source = connection.getSourceChannel();
            source.setReadListener(readable -> drop(readable, connection));
            source.resumeReads();
        } catch (IOException e) {
            // The client has gone.
            IoUtils.safeClose(connection);
        }
    }

    private static void endAnswers(ConduitStreamSinkChannel sink) throws IOException {
        sink.shutdownWrites();
        if (!sink.flush()) {
            sink.setWriteListener(ChannelListeners.flushingChannelListener(
                    ChannelListeners.nullChannelListener(), ChannelListeners.closingChannelExceptionHandler()));
            sink.resumeWrites();
        }
    }

    private static void drop(ConduitStreamSourceChannel source, StreamConnection connection) {
        try {
            ByteBuffer dropped = ByteBuffer.allocate(DROPPED_BYTES);
            int count = source.read(dropped);
            while (count > 0) {
                dropped.clear();
                count = source.read(dropped);
            }
            if (count < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            // The client has gone.
            IoUtils.safeClose(connection);
        }
    }
}
