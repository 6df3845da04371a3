package io.persimmonstack.runtime.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Sends bodies of answers of which a connection keeps no more than a small part. Undertow writes the head together with
 * the first bytes of the body, and keeps the whole array with these bytes until the next answer on the connection.
 */
public final class AnswerBody {
    /** Largest part of a body that a connection may keep, in bytes. */
    private static final int KEPT_BYTES = 4 * 1024;

    private AnswerBody() {}

    /**
     * Sends bytes of a body; the first ones of a large array are copied.
     *
     * @param exchange exchange whose length or encoding of the answer has been set
     * @param body bytes to send
     * @param callback told when all have been sent, or that they cannot be
     */
    public static void send(HttpServerExchange exchange, byte[] body, IoCallback callback) {
        if (body.length <= KEPT_BYTES) {
            exchange.getResponseSender().send(ByteBuffer.wrap(body), callback);
            return;
        }
        ByteBuffer first = ByteBuffer.wrap(Arrays.copyOf(body, KEPT_BYTES));
        ByteBuffer rest = ByteBuffer.wrap(body, KEPT_BYTES, body.length - KEPT_BYTES);
        exchange.getResponseSender().send(first, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange sent, Sender sender) {
                sender.send(rest, callback);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                callback.onException(failed, sender, e);
            }
        });
    }
}
