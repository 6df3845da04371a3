package io.persimmonstack.router.callers;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Notices callers that close their connection before their answer has begun. Undertow does not read from a connection
 * while a request is in progress, so the connection is looked at from time to time on its I/O thread; later, writes
 * tell. Connections with TLS are not looked at.
 */
public final class CallerWatch implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 200;
    private final Set<WatchedCaller> watchedCallers = ConcurrentHashMap.newKeySet();
    private final Thread poller = Thread.ofVirtual().name("caller-watch").unstarted(this::run);

    private CallerWatch() {}

    /** Starts watching. */
    public static CallerWatch start() {
        CallerWatch callerWatch = new CallerWatch();
        callerWatch.poller.start();
        return callerWatch;
    }

    /** Watches the caller of an exchange until its answer begins. */
    WatchedCaller watch(HttpServerExchange exchange, Runnable onDisconnect) {
        WatchedCaller caller = new WatchedCaller(exchange, onDisconnect);
        boolean plaintext = exchange.getConnection().getSslSessionInfo() == null;
        if (plaintext && exchange.getConnection() instanceof HttpServerConnection) {
            watchedCallers.add(caller);
        }
        return caller;
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MS);
                watchedCallers.forEach(caller -> caller.exchange.getIoThread().execute(caller::poll));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        poller.interrupt();
    }

    /** One caller that waits. */
    final class WatchedCaller implements AutoCloseable {
        private enum State {
            WAITING,
            LOOKING,
            ENDED
        }

        private final HttpServerExchange exchange;
        private final Runnable onDisconnect;
        private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

        private WatchedCaller(HttpServerExchange exchange, Runnable onDisconnect) {
            this.exchange = exchange;
            this.onDisconnect = onDisconnect;
        }

        /** Ends the watch. No look at the connection is under way afterwards. */
        @Override
        public void close() {
            watchedCallers.remove(this);
            while (state.get() != State.ENDED && !state.compareAndSet(State.WAITING, State.ENDED)) {
                Thread.onSpinWait();
            }
        }

        private void poll() {
            if (!state.compareAndSet(State.WAITING, State.LOOKING)) {
                return;
            }
            boolean disconnected = hasDisconnected((HttpServerConnection) exchange.getConnection());
            state.set(disconnected ? State.ENDED : State.WAITING);
            if (disconnected) {
                watchedCallers.remove(this);
                onDisconnect.run();
            }
        }

        /** Reads without waiting; bytes of a next request, sent ahead, are given back to the connection. */
        private boolean hasDisconnected(HttpServerConnection connection) {
            if (connection.getExtraBytes() != null) {
                return false;
            }
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            boolean returned = false;
            try {
                ByteBuffer buffer = pooled.getBuffer();
                int bytesRead = connection.getOriginalSourceConduit().read(buffer);
                if (bytesRead > 0) {
                    buffer.flip();
                    connection.ungetRequestBytes(pooled);
                    returned = true;
                }
                return bytesRead < 0;
            } catch (IOException e) {
                return true;
            } finally {
                if (!returned) {
                    pooled.close();
                }
            }
        }
    }
}
