package io.persimmonstack.runtime.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Runs an action when a request ends, which is the end of its exchange or of its connection, whichever is first. A
 * connection has one close listener however many requests it carries; listeners of a connection are never removed.
 */
public final class ConnectionEnd {
    private static final AttachmentKey<ConnectionEnd> KEY = AttachmentKey.create(ConnectionEnd.class);
    private final AtomicReference<Runnable> action = new AtomicReference<>();

    private ConnectionEnd() {}

    /** Runs an action once, when the request of an exchange has ended. */
    public static void whenEnded(HttpServerExchange exchange, Runnable ended) {
        ConnectionEnd end = of(exchange.getConnection());
        Runnable current = new Once(ended);
        end.action.set(current);
        exchange.addExchangeCompleteListener((done, next) -> {
            end.action.compareAndSet(current, null);
            current.run();
            next.proceed();
        });
        if (!exchange.getConnection().isOpen()) {
            end.run();
        }
    }

    private static ConnectionEnd of(ServerConnection connection) {
        ConnectionEnd known = connection.getAttachment(KEY);
        if (known != null) {
            return known;
        }
        ConnectionEnd end = new ConnectionEnd();
        connection.putAttachment(KEY, end);
        connection.addCloseListener(closed -> end.run());
        return end;
    }

    private void run() {
        Runnable current = action.getAndSet(null);
        if (current != null) {
            current.run();
        }
    }

    private static final class Once implements Runnable {
        private final AtomicReference<Runnable> action;

        private Once(Runnable action) {
            this.action = new AtomicReference<>(action);
        }

        @Override
        public void run() {
            Runnable first = action.getAndSet(null);
            if (first != null) {
                first.run();
            }
        }
    }
}
