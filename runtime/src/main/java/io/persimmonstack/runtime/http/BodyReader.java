package io.persimmonstack.runtime.http;

import io.persimmonstack.runtime.FatalErrors;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one request as a whole into reserved memory, without blocking. A body whose memory is not free is
 * refused unread. While others need the memory, a body that arrives too slowly is refused, too. Used on the I/O thread.
 */
public final class BodyReader {
    /** Bytes that a body must grow by, or end, in each period of the header timeout while memory is short. */
    private static final int MIN_PROGRESS_BYTES = 16 * 1024;

    private static final String EXPECT_CONTINUE = "100-continue";
    private final HttpServerExchange exchange;
    private final InputLimits limits;
    private final ReceiveMemory memory;
    private final ReceiveMemory.Reservation reservation;
    private final ReceivedRequest request;
    private final Listener listener;
    private StreamSourceChannel channel;
    private BodyBuffer buffer;
    private XnioExecutor.Key check;
    private boolean ended;
    private long checkedBytes;
    private long checkedNanos = System.nanoTime();
    private long lastByteNanos = System.nanoTime();

    /** Takes the end of reading, on the I/O thread within a call of the exchange's handler. */
    public interface Listener {
        /** Called with the whole body. */
        void received(HttpServerExchange exchange, byte[] body);

        /**
         * Called before the client gets a refusal.
         *
         * @return what the client is told; empty if its connection is to be closed without an answer
         */
        Optional<RefusalText> refused(InputRefusal refusal);
    }

    private BodyReader(
            HttpServerExchange exchange,
            InputLimits limits,
            ReceiveMemory memory,
            ReceiveMemory.Reservation reservation,
            ReceivedRequest request,
            Listener listener) {
        this.exchange = exchange;
        this.limits = limits;
        this.memory = memory;
        this.reservation = reservation;
        this.request = request;
        this.listener = listener;
    }

    /**
     * Reads the body of an exchange; called in its handler.
     *
     * @param exchange exchange whose body has not been opened
     * @param limits limits on size and time
     * @param memory memory that the reservation is a part of
     * @param reservation grows by the body
     * @param request used while the body is read
     * @param listener takes the body or the refusal; neither is called if the connection fails
     */
    public static void read(
            HttpServerExchange exchange,
            InputLimits limits,
            ReceiveMemory memory,
            ReceiveMemory.Reservation reservation,
            ReceivedRequest request,
            Listener listener) {
        new BodyReader(exchange, limits, memory, reservation, request, listener).start();
    }

    /** Refuses a request in its handler, without reading its body. */
    public static void refuse(HttpServerExchange exchange, RefusalText refusal) {
        RefusalAnswer.send(exchange, refusal, openUnlessAwaited(exchange));
    }

    /** Opens the body for dropping it, unless the client sends it only after "100 Continue". */
    private static Optional<StreamSourceChannel> openUnlessAwaited(HttpServerExchange exchange) {
        boolean awaited =
                EXPECT_CONTINUE.equalsIgnoreCase(exchange.getRequestHeaders().getFirst(Headers.EXPECT));
        return awaited ? Optional.empty() : Optional.ofNullable(exchange.getRequestChannel());
    }

    private void start() {
        if (exchange.isRequestComplete()) {
            listener.received(exchange, new byte[0]);
            return;
        }
        request.use();
        long length = exchange.getRequestContentLength();
        if (length > limits.maxBodyBytes()) {
            refuse(InputRefusal.BODY_TOO_LARGE);
            return;
        }
        exchange.setMaxEntitySize(limits.maxBodyBytes());
        if (length >= 0 && !reservation.tryAdd(length)) {
            refuse(InputRefusal.MEMORY);
            return;
        }
        buffer = length >= 0 ? BodyBuffer.ofLength((int) length) : BodyBuffer.growing();
        channel = exchange.getRequestChannel();
        if (channel == null) {
            end();
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        ConnectionGuard.of(exchange).ifPresent(guard -> guard.receiveBody(this::end));
        channel.getReadSetter().set(ignored -> Connectors.executeRootHandler(called -> readAvailable(), exchange));
        scheduleCheck();
        readAvailable();
    }

    private void scheduleCheck() {
        int intervalMs = Math.min(limits.headerTimeoutMs(), limits.idleTimeoutMs());
        check = exchange.getIoThread().executeAfter(this::checkProgress, intervalMs, TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
        if (ended) {
            return;
        }
        if (!exchange.getConnection().isOpen()) {
            end();
            return;
        }
        long nowNanos = System.nanoTime();
        boolean slow = buffer.count() - checkedBytes < MIN_PROGRESS_BYTES && memory.wasShortSince(checkedNanos);
        boolean silent = nowNanos - lastByteNanos >= TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMs());
        if (slow || silent) {
            Connectors.executeRootHandler(called -> refuse(InputRefusal.BODY_TIMEOUT), exchange);
            return;
        }
        checkedBytes = buffer.count();
        checkedNanos = nowNanos;
        scheduleCheck();
    }

    private void readAvailable() {
        if (ended) {
            return;
        }
        try {
            while (true) {
                Optional<ByteBuffer> room = buffer.room(reservation);
                if (room.isEmpty()) {
                    refuse(InputRefusal.MEMORY);
                    return;
                }
                int count = channel.read(room.get());
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    finish();
                    return;
                }
                buffer.added(count);
                lastByteNanos = System.nanoTime();
                if (buffer.count() > limits.maxBodyBytes()) {
                    refuse(InputRefusal.BODY_TOO_LARGE);
                    return;
                }
            }
        } catch (RequestTooBigException e) {
            refuse(InputRefusal.BODY_TOO_LARGE);
        } catch (IOException e) {
            end();
            IoUtils.safeClose(exchange.getConnection());
        } catch (VirtualMachineError e) {
            // Undertow catches every error of a listener, so that a process without memory would go on half-dead.
            throw FatalErrors.end(e);
        }
    }

    private void finish() {
        byte[] body = buffer.toBytes(reservation);
        ConnectionGuard.of(exchange).ifPresent(ConnectionGuard::endBody);
        listener.received(exchange, body);
        end();
    }

    private void refuse(InputRefusal refusal) {
        end();
        buffer = null;
        // A refused request needs no memory any more, though its answer may take a while.
        reservation.close();
        Optional<RefusalText> text = listener.refused(refusal);
        if (text.isEmpty()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        RefusalAnswer.send(exchange, text.get(), channel == null ? openUnlessAwaited(exchange) : Optional.of(channel));
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        request.release();
        if (check != null) {
            check.remove();
        }
        if (channel != null) {
            channel.suspendReads();
        }
    }
}
