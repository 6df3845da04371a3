package io.persimmonstack.router.callers;

import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Closes the connection of a request that does not arrive in time. A timer that goes on after the end of the connection
 * would keep what has come of the body. Thread-safe.
 */
final class ReceiveTimeout {
    private Optional<XnioExecutor.Key> timer = Optional.empty();
    private boolean ended;

    /** Starts the time of a request, in milliseconds; does nothing if it has ended. */
    synchronized void start(HttpServerExchange exchange, int timeoutMs) {
        if (!ended) {
            timer = Optional.of(exchange.getIoThread()
                    .executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), timeoutMs, TimeUnit.MILLISECONDS));
        }
    }

    /** Ends the time, since the request has been received or refused, or its connection has been closed. */
    synchronized void end() {
        ended = true;
        timer.ifPresent(XnioExecutor.Key::remove);
        timer = Optional.empty();
    }
}
