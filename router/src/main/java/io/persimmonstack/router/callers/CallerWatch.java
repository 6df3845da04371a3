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
    private static final long INTERVAL_MS = 200;
    private final Set<Watched> watched = ConcurrentHashMap.newKeySet();
    private final Thread thread = Thread.ofVirtual().name("caller-watch").unstarted(this::run);

    private CallerWatch() {}

    /** Starts watching. */
    public static CallerWatch start() {
        CallerWatch watch = new CallerWatch();
        watch.thread.start();
        return watch;
    }

    /** Watches the caller of an exchange until its answer begins. */
    Watched add(HttpServerExchange exchange, Runnable whenGone) {
        Watched added = new Watched(exchange, whenGone);
        boolean plain = exchange.getConnection().getSslSessionInfo() == null;
        if (plain && exchange.getConnection() instanceof HttpServerConnection) {
            watched.add(added);
        }
        return added;
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(INTERVAL_MS);
                watched.forEach(one -> one.exchange.getIoThread().execute(one::look));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    /** One caller that waits. */
    final class Watched implements AutoCloseable {
        private enum State {
            WAITING,
            LOOKING,
            ENDED
        }

        private final HttpServerExchange exchange;
        private final Runnable whenGone;
        private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

        private Watched(HttpServerExchange exchange, Runnable whenGone) {
            this.exchange = exchange;
            this.whenGone = whenGone;
        }

        /** Ends the watch. No look at the connection is under way afterwards. */
        @Override
        public void close() {
            watched.remove(this);
            while (state.get() != State.ENDED && !state.compareAndSet(State.WAITING, State.ENDED)) {
                Thread.onSpinWait();
            }
        }

        private void look() {
            if (!state.compareAndSet(State.WAITING, State.LOOKING)) {
                return;
            }
            boolean gone = gone((HttpServerConnection) exchange.getConnection());
            state.set(gone ? State.ENDED : State.WAITING);
            if (gone) {
                watched.remove(this);
                whenGone.run();
            }
        }

        /** Reads without waiting; bytes of a next request, sent ahead, are given back to the connection. */
        private boolean gone(HttpServerConnection connection) {
            if (connection.getExtraBytes() != null) {
                return false;
            }
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            boolean kept = false;
            try {
                ByteBuffer buffer = pooled.getBuffer();
                int count = connection.getOriginalSourceConduit().read(buffer);
                if (count > 0) {
                    buffer.flip();
                    connection.ungetRequestBytes(pooled);
                    kept = true;
                }
                return count < 0;
            } catch (IOException e) {
                return true;
            } finally {
                if (!kept) {
                    pooled.close();
                }
            }
        }
    }
}
