package io.persimmonstack.runtime.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Accepts connections of clients that may be outside the limits. At the bound on connections, the one that has been
 * idle, or has sent a part of the same request, for longest is closed for a new one: a client that finishes its
 * requests is served also among many that do not. Used on a single I/O thread.
 */
public final class GuardedListener implements ChannelListener<StreamConnection> {
    private final HttpOpenListener listener;
    private final int maxConnections;
    private final Supplier<InputLimits> limits;
    private final ReceiveMemory memory;
    private final Consumer<InputRefusal> onRefusal;
    private final Set<ConnectionGuard> connections = new HashSet<>();

    private GuardedListener(
            HttpOpenListener listener,
            int maxConnections,
            Supplier<InputLimits> limits,
            ReceiveMemory memory,
            Consumer<InputRefusal> onRefusal) {
        this.listener = listener;
        this.maxConnections = maxConnections;
        this.limits = limits;
        this.memory = memory;
        this.onRefusal = onRefusal;
    }

    /**
     * Returns a listener.
     *
     * @param listener serves the accepted connections
     * @param maxConnections most connections at a time
     * @param limits the limits in force
     * @param memory memory for heads
     * @param onRefusal told of each refusal
     */
    public static GuardedListener of(
            HttpOpenListener listener,
            int maxConnections,
            Supplier<InputLimits> limits,
            ReceiveMemory memory,
            Consumer<InputRefusal> onRefusal) {
        return new GuardedListener(listener, maxConnections, limits, memory, onRefusal);
    }

    /** Returns a handler that checks the head of each request before it passes it on. */
    public HttpHandler checkingHeads(HttpHandler next) {
        return exchange -> {
            Optional<ConnectionGuard> guard = ConnectionGuard.of(exchange);
            if (guard.isPresent()
                    && guard.get().beginRequest(exchange) > limits.get().maxHeaderBytes()) {
                onRefusal.accept(InputRefusal.HEAD_TOO_LARGE);
                guard.ifPresent(present -> endWith(exchange, present));
                BodyReader.refuse(
                        exchange, RefusalText.plain(InputRefusal.HEAD_TOO_LARGE).orElseThrow());
                return;
            }
            guard.ifPresent(present -> endWith(exchange, present));
            next.handleRequest(exchange);
        };
    }

    /** Has the guard take over the connection after its last exchange, which Undertow then does not learn of. */
    private static void endWith(HttpServerExchange exchange, ConnectionGuard guard) {
        if (guard.holdsHeadMemory()) {
            exchange.setPersistent(false);
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            if (done.isPersistent()) {
                guard.endRequest();
                next.proceed();
            } else {
                guard.endLastRequest(done);
            }
        });
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        if (connections.size() >= maxConnections && !makeRoom()) {
            onRefusal.accept(InputRefusal.CONNECTIONS);
            IoUtils.safeClose(connection);
            return;
        }
        connections.add(ConnectionGuard.attach(connection, limits, memory));
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setReadListener(readable -> begin(connection));
        source.resumeReads();
    }

    /**
     * Serves a connection from its first bytes on, in its turn among those that have bytes. The I/O thread accepts
     * before it looks at any of these: served at once, clients that connect again and again would occupy it alone.
     */
    private void begin(StreamConnection connection) {
        connection.getSourceChannel().suspendReads();
        listener.handleEvent(connection);
    }

    private boolean makeRoom() {
        forgetClosed();
        if (connections.size() < maxConnections) {
            return true;
        }
        Optional<ConnectionGuard> longest = connections.stream()
                .filter(guard -> !guard.hasRequest())
                .min(Comparator.comparingLong(guard -> guard.stateNanos()));
        longest.ifPresent(guard -> {
            onRefusal.accept(InputRefusal.CONNECTIONS);
            guard.close();
            connections.remove(guard);
        });
        return longest.isPresent();
    }

    private void forgetClosed() {
        connections.removeIf(guard -> {
            if (!guard.isOpen()) {
                guard.releaseHead();
            }
            return !guard.isOpen();
        });
    }

    /** Closes the connections that have waited for a head for longer than allowed; called at short intervals. */
    public void closeOverdue() {
        forgetClosed();
        long nowNanos = System.nanoTime();
        for (ConnectionGuard guard : connections) {
            guard.retryHead();
            if (guard.isOverdue(nowNanos)) {
                if (guard.hasPartOfHead()) {
                    onRefusal.accept(InputRefusal.HEAD_TIMEOUT);
                }
                guard.close();
            }
        }
    }

    /** Closes the connections whose request has had no whole answer for the given time, in milliseconds. */
    void closeUnanswered(int timeoutMs) {
        long nowNanos = System.nanoTime();
        connections.stream()
                .filter(ConnectionGuard::hasRequest)
                .filter(guard -> nowNanos - guard.stateNanos() >= TimeUnit.MILLISECONDS.toNanos(timeoutMs))
                .forEach(ConnectionGuard::close);
    }
}
