package io.persimmonstack.runtime.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Answers a request whose body is not read, and closes the connection. Undertow itself would send the answer only once
 * the whole body has been received. Used on the I/O thread.
 */
final class RefusalAnswer {
    private static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    /**
     * Time for which the rest of the body is read and dropped. A connection that is closed with unread bytes is reset,
     * so that the client may not see the answer.
     */
    private static final long LINGER_MS = 1_000;

    private static final int DROPPED_BYTES = 4 * 1024;

    private final HttpServerExchange exchange;
    private final XnioExecutor.Key timeout;

    private RefusalAnswer(HttpServerExchange exchange, XnioExecutor.Key timeout) {
        this.exchange = exchange;
        this.timeout = timeout;
    }

    /**
     * Sends the answer.
     *
     * @param exchange exchange whose answer has not begun
     * @param refusal what the client is told
     * @param body source of the body; empty if it was not opened, since the client may wait for "100 Continue"
     */
    static void send(HttpServerExchange exchange, RefusalText refusal, Optional<StreamSourceChannel> body) {
        exchange.setPersistent(false);
        exchange.setStatusCode(refusal.status());
        String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        if (id != null) {
            exchange.getResponseHeaders().put(REQUEST_ID, id);
        }
        refusal.retryAfter().ifPresent(after -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, after));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, refusal.contentType());
        exchange.setResponseContentLength(refusal.body().length);
        // Removed at the end, since a pending timer keeps the memory of the exchange.
        XnioExecutor.Key timeout = exchange.getIoThread()
                .executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), LINGER_MS, TimeUnit.MILLISECONDS);
        exchange.getConnection().addCloseListener(closed -> timeout.remove());
        new RefusalAnswer(exchange, timeout).send(refusal.body(), body);
    }

    private void send(byte[] text, Optional<StreamSourceChannel> body) {
        exchange.getResponseSender().send(ByteBuffer.wrap(text), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange done, Sender sender) {
                dropRest(body);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                close();
            }
        });
    }

    private void dropRest(Optional<StreamSourceChannel> body) {
        if (body.isEmpty()) {
            close();
            return;
        }
        body.get().getReadSetter().set(this::drop);
        body.get().resumeReads();
    }

    private void drop(StreamSourceChannel body) {
        try {
            ByteBuffer dropped = ByteBuffer.allocate(DROPPED_BYTES);
            int count = body.read(dropped);
            while (count > 0) {
                dropped.clear();
                count = body.read(dropped);
            }
            if (count < 0) {
                close();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        timeout.remove();
        IoUtils.safeClose(exchange.getConnection());
    }
}
