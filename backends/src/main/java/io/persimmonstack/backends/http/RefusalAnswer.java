package io.persimmonstack.backends.http;

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

    private RefusalAnswer() {}

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
        exchange.getIoThread()
                .executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), LINGER_MS, TimeUnit.MILLISECONDS);
        exchange.getResponseSender().send(ByteBuffer.wrap(refusal.body()), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange done, Sender sender) {
                dropRest(done, body);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                IoUtils.safeClose(failed.getConnection());
            }
        });
    }

    private static void dropRest(HttpServerExchange exchange, Optional<StreamSourceChannel> body) {
        if (body.isEmpty()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        body.get().getReadSetter().set(channel -> drop(exchange, channel));
        body.get().resumeReads();
    }

    private static void drop(HttpServerExchange exchange, StreamSourceChannel channel) {
        try {
            ByteBuffer dropped = ByteBuffer.allocate(DROPPED_BYTES);
            int count = channel.read(dropped);
            while (count > 0) {
                dropped.clear();
                count = channel.read(dropped);
            }
            if (count < 0) {
                IoUtils.safeClose(exchange.getConnection());
            }
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
