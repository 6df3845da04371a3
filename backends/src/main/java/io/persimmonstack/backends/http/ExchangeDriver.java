package io.persimmonstack.backends.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Moves one request and its answer on the I/O thread of the connection. */
final class ExchangeDriver {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    private final PooledConnection connection;
    private final HttpRequest request;
    private final ResponseBuffer buffer;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.NEW);
    private long bytesWrittenBefore;
    private volatile long bytesReadBefore;
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
        this.buffer = buffer;
    }

    static ExchangeDriver of(PooledConnection connection, HttpRequest request, ResponseBuffer buffer) {
        return new ExchangeDriver(connection, request, buffer);
    }

    void start() {
        connection.runOnIoThread(this::send);
    }

    /** Keeps a request from starting; returns whether it had exchangeStarted, and so may have been sent. */
    boolean abandon() {
        return !stage.compareAndSet(Stage.NEW, Stage.ABANDONED) && stage.get() == Stage.STARTED;
    }

    /** Reads on after the reader has made room. */
    void resumeReading() {
        connection.runOnIoThread(() -> readBody(responseChannel));
    }

    /** Cuts the exchange if its head is too large; called from outside the I/O thread while the head is awaited. */
    void enforceHeadLimit() {
        if (stage.get() == Stage.STARTED && isHeadTooLarge() && buffer.failBeforeHead(headTooLarge(null))) {
            connection.closeFromOtherThread(CloseCause.of(HttpFailure.Kind.TOO_LARGE));
        }
    }

    private boolean isHeadTooLarge() {
        return responseChannel == null && connection.bytesRead() - bytesReadBefore > MAX_HEAD_BYTES;
    }

    private HttpFailure headTooLarge(IOException cause) {
        String message = describe() + ": head larger than " + MAX_HEAD_BYTES + " bytes";
        return new HttpFailure(HttpFailure.Kind.TOO_LARGE, message, true, cause);
    }

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
            fail(HttpFailure.Kind.LOST, new IOException("closed by the other side before it was used"));
            return;
        }
        connection.clientConnection().sendRequest(clientRequest(), new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchangeStarted(exchange);
            }

            @Override
            public void failed(IOException e) {
                fail(HttpFailure.Kind.LOST, e);
            }
        });
    }

    private ClientRequest clientRequest() {
        ClientRequest sent = new ClientRequest()
                .setMethod(HttpString.tryFromString(request.method()))
                .setPath(request.path());
        for (HttpHeader header : request.headers()) {
            sent.getRequestHeaders().add(new HttpString(header.name()), header.value());
        }
        if (!sent.getRequestHeaders().contains(Headers.HOST)) {
            sent.getRequestHeaders().put(Headers.HOST, connection.target().toString());
        }
        if (request.body().length > 0 || !request.method().equals("GET")) {
            sent.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return sent;
    }

    private void exchangeStarted(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchangeWithResponse) {
                responseStarted(exchangeWithResponse);
            }

            @Override
            public void failed(IOException e) {
                fail(HttpFailure.Kind.LOST, e);
            }
        });
        StreamSinkChannel sink = exchange.getRequestChannel();
        ByteBuffer body = ByteBuffer.wrap(request.body());
        sink.getWriteSetter().set(channel -> write(channel, body));
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
        String expectedId = request.header(REQUEST_ID.toString()).orElse(responseId);
        if (responseId != null && !responseId.equals(expectedId)) {
            fail(
                    HttpFailure.Kind.MISMATCH,
                    new IOException("X-Request-Id '" + responseId + "'; expected '" + expectedId + "'"));
            return;
        }
        responseChannel = exchange.getResponseChannel();
        responseChannel.getReadSetter().set(this::readBody);
        buffer.setHead(response);
        readBody(responseChannel);
    }

    private void readBody(StreamSourceChannel channel) {
        if (buffer.isPaused()) {
            channel.suspendReads();
            return;
        }
        try (PooledByteBuffer pooled = connection.clientConnection().getBufferPool().allocate()) {
            ByteBuffer chunk = pooled.getBuffer();
            while (true) {
                chunk.clear();
                int count = channel.read(chunk);
                if (count < 0) {
                    channel.suspendReads();
                    buffer.complete();
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (!buffer.offer(copy(chunk))) {
                    channel.suspendReads();
                    return;
                }
            }
        } catch (IOException e) {
            fail(HttpFailure.Kind.LOST, e);
        }
    }

    private static byte[] copy(ByteBuffer chunk) {
        chunk.flip();
        byte[] content = new byte[chunk.remaining()];
        chunk.get(content);
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

    /** Returns method, address and path for messages. */
    String describe() {
        return request.method() + " " + connection.target() + request.path();
    }
}
