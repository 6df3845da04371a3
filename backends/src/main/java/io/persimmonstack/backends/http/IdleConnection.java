package io.persimmonstack.backends.http;

/**
 * Newly opened connection that waits for its first request. Closing it without a request leaves it to the pool.
 *
 * <pre>{@code
 * try (IdleConnection connection = connector.connect(target, 200);
 *         HttpCall call = connection.open(request, timeouts, SilenceWatcher.NEVER_GIVES_UP)) {
 *     use(call.status(), call.readAll(MAX_BYTES));
 * }
 * }</pre>
 */
public final class IdleConnection implements AutoCloseable {
    private final HttpConnector connector;
    private final PooledConnection connection;
    private boolean used;

    private IdleConnection(HttpConnector connector, PooledConnection connection) {
        this.connector = connector;
        this.connection = connection;
    }

    static IdleConnection of(HttpConnector connector, PooledConnection connection) {
        return new IdleConnection(connector, connection);
    }

    /**
     * Sends a request and waits for the response head. May be called once.
     *
     * @param request request to send
     * @param timeouts timeouts of the call; the one for connecting does not apply
     * @param watcher decides whether to give up a silent peer
     * @return the call, whose body has yet to be read
     * @throws HttpFailure if no response head arrived
     */
    public HttpCall open(HttpRequest request, HttpTimeouts timeouts, SilenceWatcher watcher) throws HttpFailure {
        used = true;
        return connector.openCall(connection, request, timeouts, watcher);
    }

    @Override
    public void close() {
        if (!used) {
            used = true;
            connector.release(connection);
        }
    }
}
