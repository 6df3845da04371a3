package io.persimmonstack.runtime.admin;

import io.persimmonstack.runtime.http.AnswerBody;
import io.persimmonstack.runtime.http.ConnectionEnd;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;

/**
 * Sends answers of the admin port within a bounded memory. One that does not fit, since others have not been taken by
 * their clients, is replaced by 503.
 */
final class AdminAnswers {
    private static final String RETRY_AFTER_SECONDS = "1";

    private final ReceiveMemory memory;

    private AdminAnswers(ReceiveMemory memory) {
        this.memory = memory;
    }

    /** Returns answers that have a memory of the given size, in bytes; a single one may be larger. */
    static AdminAnswers within(long bytes) {
        return new AdminAnswers(ReceiveMemory.ofBytes(bytes));
    }

    /** Sends an answer. */
    void send(HttpServerExchange exchange, int status, String type, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        ReceiveMemory.Reservation reservation = memory.open();
        ConnectionEnd.whenEnded(exchange, reservation::close);
        if (!reservation.tryAdd(body.length)) {
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
            exchange.endExchange();
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.setResponseContentLength(body.length);
        AnswerBody.send(exchange, body, IoCallback.END_EXCHANGE);
    }
}
