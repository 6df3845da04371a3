package io.persimmonstack.router.callers;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Detects callers that close their connection while they wait for their answer, or for more of a stream. Undertow does
 * not read from a connection while a request is in progress, so this class polls the connections on their I/O threads.
 * Connections with TLS and protocols other than HTTP/1 are not polled; there, failing writes reveal a closed one.
 */
public final class CallerWatch implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 200;
    private final Set<WatchedCaller> watchedCallers = ConcurrentHashMap.newKeySet();
    private final Thread poller = Thread.ofVirtual().name("caller-watch").unstarted(this::run);

    private CallerWatch() {}

    /** Starts the polling thread. */
    public static CallerWatch start() {
        CallerWatch callerWatch = new CallerWatch();
        callerWatch.poller.start();
        return callerWatch;
    }

    /**
     * Polls the caller of an exchange until the returned watch is closed.
     *
     * @param exchange exchange whose answer has not ended
     * @param onDisconnect run at most once, on the I/O thread of the connection, when the caller has disconnected; must
     *     not block
     * @return the watch, to be closed before the exchange ends
     */
    WatchedCaller watch(HttpServerExchange exchange, Runnable onDisconnect) {
        WatchedCaller caller = new WatchedCaller(exchange, onDisconnect);
        if (pollable(exchange).isPresent()) {
            watchedCallers.add(caller);
        }
        return caller;
    }

    /**
     * Returns whether the caller of a request that has just been received has disconnected. If requests are read late,
     * many of their callers have, before the first poll. Called on the I/O thread, within a call of the exchange's
     * handler.
     */
    public static boolean hasDisconnected(HttpServerExchange exchange) {
        return pollable(exchange).filter(CallerWatch::hasEnded).isPresent();
    }

    /** Returns the connection of an exchange, empty if it cannot be polled. */
    private static Optional<HttpServerConnection> pollable(HttpServerExchange exchange) {
        boolean plaintext = exchange.getConnection().getSslSessionInfo() == null;
        return plaintext && exchange.getConnection() instanceof HttpServerConnection connection
                ? Optional.of(connection)
                : Optional.empty();
    }

    /** Reads without blocking; bytes of a pipelined request are returned to the connection. */
    private static boolean hasEnded(HttpServerConnection connection) {
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

    /** Caller that waits for its answer. */
    final class WatchedCaller implements AutoCloseable {
        private enum State {
            /** No poll is running. */
            WAITING,
            /** The I/O thread is polling the connection. */
            LOOKING,
            /** The watch was closed or the caller has disconnected. */
            ENDED
        }

        private final HttpServerExchange exchange;
        private final Runnable onDisconnect;
        private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

        private WatchedCaller(HttpServerExchange exchange, Runnable onDisconnect) {
            this.exchange = exchange;
            this.onDisconnect = onDisconnect;
        }

        /** Ends the watch, waiting for a running poll, so that afterwards nothing else reads the connection. */
        @Override
        public void close() {
            watchedCallers.remove(this);
            while (state.get() != State.ENDED && !state.compareAndSet(State.WAITING, State.ENDED)) {
                Thread.onSpinWait();
            }
        }

        /** Checks the connection once; runs on its I/O thread and skips the check if the watch has ended. */
        private void poll() {
            if (!state.compareAndSet(State.WAITING, State.LOOKING)) {
                return;
            }
            boolean disconnected = hasEnded((HttpServerConnection) exchange.getConnection());
            state.set(disconnected ? State.ENDED : State.WAITING);
            if (disconnected) {
                watchedCallers.remove(this);
                onDisconnect.run();
            }
        }
    }
}
