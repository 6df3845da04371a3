package io.persimmonstack.backends.http;

import io.persimmonstack.runtime.http.FramingException;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends one request and receives its response on the I/O thread of the connection. A {@link ResponseBuffer} hands the
 * received data to the reading thread.
 */
final class ExchangeDriver {
    private static final int MIN_ERROR_STATUS = 400;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    /** Most bytes between two parts of a body that belong to neither: chunk sizes, their extensions and trailers. */
    private static final int MAX_FRAMING_BYTES = 64 * 1024;

    private static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    private final PooledConnection connection;
    private final HttpRequest request;
    private final Optional<String> requestId;
    private final ResponseBuffer buffer;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.NEW);
    private long bytesWrittenBefore;
    private volatile long bytesReadBefore;
    private long bytesReadAtLastPart;
    private volatile boolean requestComplete;
    private volatile StreamSourceChannel responseChannel;

    private enum Stage {
        NEW,
        STARTED,
        ABANDONED
    }

    private ExchangeDriver(PooledConnection connection, HttpRequest request, ResponseBuffer buffer) {
        this.connection = connection;
        this.request = request;
        this.requestId = request.header(REQUEST_ID.toString());
        this.buffer = buffer;
    }

    static ExchangeDriver of(PooledConnection connection, HttpRequest request, ResponseBuffer buffer) {
        return new ExchangeDriver(connection, request, buffer);
    }

    /** Schedules the exchange on the I/O thread. */
    void start() {
        connection.runOnIoThread(() -> failOnError(this::send));
    }

    /**
     * Prevents the exchange from starting. Returns whether it had already started, so that the request may have been
     * sent.
     */
    boolean abandon() {
        return !stage.compareAndSet(Stage.NEW, Stage.ABANDONED) && stage.get() == Stage.STARTED;
    }

    /** Resumes reading the body after the buffer was drained to half its capacity. */
    void resumeReading() {
        connection.runOnIoThread(() -> failOnError(() -> readBody(responseChannel)));
    }

    /**
     * Fails the exchange and closes the connection if the response head has become too large. May be called from any
     * thread while the exchange waits for the head.
     */
    void enforceHeadLimit() {
        if (stage.get() == Stage.STARTED && isHeadTooLarge() && buffer.failBeforeHead(headTooLarge(null))) {
            connection.closeFromOtherThread(CloseCause.of(HttpFailure.Kind.TOO_LARGE));
        }
    }

    private boolean isHeadTooLarge() {
        return responseChannel == null && connection.bytesRead() - bytesReadBefore > MAX_HEAD_BYTES;
    }

    private HttpFailure headTooLarge(IOException cause) {
        String message = describe() + ": response head larger than " + MAX_HEAD_BYTES + " bytes";
        return new HttpFailure(HttpFailure.Kind.TOO_LARGE, message, true, cause);
    }

    /**
     * Runs a task on the I/O thread, which only logs an exception that it does not expect; the thread that waits for
     * the response has to learn of it too.
     */
    private void failOnError(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            fail(HttpFailure.Kind.LOST, new IOException(e));
        }
    }

    /** Returns whether the whole request has been written. */
    boolean requestComplete() {
        return requestComplete;
    }

    private void send() {
        bytesWrittenBefore = connection.bytesWritten();
        bytesReadBefore = connection.bytesRead();
        if (!stage.compareAndSet(Stage.NEW, Stage.STARTED)) {
            return;
        }
        if (!connection.isOpen()) {
            fail(HttpFailure.Kind.LOST, new IOException("connection closed by the peer before the request was sent"));
            return;
        }
        if (requestId.filter(connection::hasRefused).isPresent()) {
            fail(HttpFailure.Kind.LOST, new IOException("the peer has refused the request on this connection before"));
            return;
        }
        if (!request.sendable().getAsBoolean()) {
            fail(HttpFailure.Kind.CANCELLED, new IOException("no longer to be sent once the connection was open"));
            return;
        }
        connection.framing().requestStarts(request.method());
        connection.clientConnection().sendRequest(toUndertowRequest(), new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                failOnError(() -> exchangeStarted(exchange));
            }

            @Override
            public void failed(IOException e) {
                fail(HttpFailure.Kind.LOST, e);
            }
        });
    }

    private ClientRequest toUndertowRequest() {
        ClientRequest undertowRequest = new ClientRequest()
                .setMethod(HttpString.tryFromString(request.method()))
                .setPath(request.path());
        for (HttpHeader header : request.headers()) {
            undertowRequest.getRequestHeaders().add(new HttpString(header.name()), header.value());
        }
        if (!undertowRequest.getRequestHeaders().contains(Headers.HOST)) {
            undertowRequest
                    .getRequestHeaders()
                    .put(Headers.HOST, connection.target().toString());
        }
        if (request.body().length > 0 || !request.method().equals("GET")) {
            undertowRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return undertowRequest;
    }

    private void exchangeStarted(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchangeWithResponse) {
                failOnError(() -> responseStarted(exchangeWithResponse));
            }

            @Override
            public void failed(IOException e) {
                fail(HttpFailure.Kind.LOST, e);
            }
        });
        StreamSinkChannel sink = exchange.getRequestChannel();
        ByteBuffer body = ByteBuffer.wrap(request.body());
        sink.getWriteSetter().set(channel -> failOnError(() -> write(channel, body)));
        write(sink, body);
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            requestComplete = true;
        } catch (IOException e) {
            fail(HttpFailure.Kind.LOST, e);
        }
    }

    private void responseStarted(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        String responseId = response.getResponseHeaders().getFirst(REQUEST_ID);
        if (responseId != null && !responseId.equals(requestId.orElse(""))) {
            String expected = requestId.map(id -> "'" + id + "'").orElse("none");
            fail(HttpFailure.Kind.MISMATCH, new IOException("X-Request-Id '" + responseId + "'; expected " + expected));
            return;
        }
        if (response.getResponseCode() >= MIN_ERROR_STATUS) {
            requestId.ifPresent(connection::recordRefusal);
        }
        if (connection.framing().isChunked() != response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)) {
            fail(HttpFailure.Kind.LOST, new FramingException("response head: ambiguous framing of the body"));
            return;
        }
        bytesReadAtLastPart = connection.bytesRead();
        responseChannel = exchange.getResponseChannel();
        responseChannel.getReadSetter().set(channel -> failOnError(() -> readBody(channel)));
        buffer.setHead(response);
        readBody(responseChannel);
    }

    private void readBody(StreamSourceChannel channel) {
        if (buffer.isPaused()) {
            channel.suspendReads();
            return;
        }
        try (PooledByteBuffer pooled =
                connection.clientConnection().getBufferPool().allocate()) {
            readParts(channel, pooled.getBuffer());
        }
    }

    private void readParts(StreamSourceChannel channel, ByteBuffer part) {
        try {
            boolean accepted = true;
            int count = 1;
            while (accepted && count > 0) {
                count = fill(channel, part);
                accepted = offer(part);
            }
            if (count < 0) {
                channel.suspendReads();
                buffer.complete();
            } else if (!accepted) {
                channel.suspendReads();
            } else if (connection.bytesRead() - bytesReadAtLastPart > MAX_FRAMING_BYTES) {
                String message = "more than " + MAX_FRAMING_BYTES + " bytes between two parts of the body";
                fail(HttpFailure.Kind.TOO_LARGE, new IOException(message));
            } else {
                channel.resumeReads();
            }
        } catch (IOException e) {
            offer(part);
            fail(HttpFailure.Kind.LOST, e);
        }
    }

    /**
     * Gathers what can be read without waiting, so that tiny chunks do not become as many parts. Returns the result of
     * the last read: 0 if nothing more has arrived, negative at the end of the body, positive if the part is full.
     */
    private int fill(StreamSourceChannel channel, ByteBuffer part) throws IOException {
        int count = 1;
        while (count > 0 && part.hasRemaining()) {
            count = channel.read(part);
            if (count > 0) {
                bytesReadAtLastPart = connection.bytesRead();
            }
        }
        return count;
    }

    /** Hands a part to the reading thread and empties it. Returns whether more may be read from the connection. */
    private boolean offer(ByteBuffer part) {
        return part.position() == 0 || buffer.offer(copy(part));
    }

    private static byte[] copy(ByteBuffer chunk) {
        chunk.flip();
        byte[] content = new byte[chunk.remaining()];
        chunk.get(content);
        chunk.clear();
        return content;
    }

    private void fail(HttpFailure.Kind kind, IOException e) {
        HttpFailure failure = isHeadTooLarge() ? headTooLarge(e) : failure(kind, e);
        buffer.fail(failure);
        connection.close(CloseCause.of(failure.kind()));
    }

    private HttpFailure failure(HttpFailure.Kind kind, IOException e) {
        boolean sent = connection.bytesWritten() > bytesWrittenBefore;
        String message = describe() + ": " + (e.getMessage() == null ? e.toString() : e.getMessage());
        return new HttpFailure(kind, message, sent, e);
    }

    /** Returns method, address and path of the request, for error messages. */
    String describe() {
        return request.method() + " " + connection.target() + request.path();
    }
}
