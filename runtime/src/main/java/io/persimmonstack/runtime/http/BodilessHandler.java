package io.persimmonstack.runtime.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.function.Consumer;

/** Refuses requests with a body, which would otherwise be read to its end before the answer is sent. */
public final class BodilessHandler implements HttpHandler {
    private final HttpHandler next;
    private final Consumer<InputRefusal> onRefusal;

    private BodilessHandler(HttpHandler next, Consumer<InputRefusal> onRefusal) {
        this.next = next;
        this.onRefusal = onRefusal;
    }

    /**
     * Returns a handler that passes on requests without a body.
     *
     * @param next serves them
     * @param onRefusal told of each refusal
     */
    public static BodilessHandler before(HttpHandler next, Consumer<InputRefusal> onRefusal) {
        return new BodilessHandler(next, onRefusal);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.isRequestComplete()) {
            next.handleRequest(exchange);
            return;
        }
        onRefusal.accept(InputRefusal.BODY_TOO_LARGE);
        BodyReader.refuse(
                exchange, RefusalText.plain(InputRefusal.BODY_TOO_LARGE).orElseThrow());
    }
}
