package io.persimmonstack.runtime.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Bounds what one client connection may send before its request begins, and how long one client occupies the I/O
 * thread. Bytes before a request, such as empty lines, count as its head. Reads take place on the I/O thread; a request
 * may end on another one.
 */
final class ConnectionGuard extends BufferSourceConduit {
    /** Bytes after which other connections get their turn. */
    private static final int BYTES_PER_TURN = 16 * 1024;

    /** Request line, and bytes after the head that are read with it. */
    private static final int HEAD_EXTRA_BYTES = 12 * 1024;

    /** Bytes of a head that need no reserved memory; they are part of the cost of a connection. */
    private static final int SMALL_HEAD_BYTES = 4 * 1024;

    /** Memory that a parsed head takes for each of its bytes: the text, and the buffer of the parser. */
    private static final int MEMORY_PER_HEAD_BYTE = 3;

    /** Bytes beyond the limit of the headers, as of a long request line, whose memory is reserved at once. */
    private static final int HEAD_STEP_BYTES = 4 * 1024;

    private static final Runnable NOTHING = () -> {};

    private final StreamConnection connection;
    private final Supplier<InputLimits> limits;
    private final ReceiveMemory.Reservation headMemory;
    /** Bytes of a head for which memory is reserved. */
    private int reservedHeadBytes = SMALL_HEAD_BYTES;

    private volatile State state = State.IDLE;
    private volatile long stateNanos = System.nanoTime();
    private volatile int headBytes;
    private volatile Optional<LingeringClose> lingering = Optional.empty();
    /** Whether a part of a head waits for memory; its client is not read from meanwhile. */
    private boolean waitsForMemory;
    /** Whether the reader wants to be told of further bytes. */
    private boolean readsWanted;

    private Runnable abandonBody = NOTHING;
    private int turnBytes = BYTES_PER_TURN;

    /** What a connection is used for. */
    private enum State {
        /** Nothing of a request has been received. */
        IDLE,
        /** A part of a head has been received. */
        HEAD,
        /** A head has been received, and a part of its body. */
        BODY,
        /** A whole request is served. */
        REQUEST,
        /** The last answer has been sent, and the client has not closed the connection yet. */
        CLOSING
    }

    private ConnectionGuard(StreamConnection connection, Supplier<InputLimits> limits, ReceiveMemory memory) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.limits = limits;
        this.headMemory = memory.openLarge();
    }

    /** Puts a guard before a connection that was accepted. */
    static ConnectionGuard attach(StreamConnection connection, Supplier<InputLimits> limits, ReceiveMemory memory) {
        ConnectionGuard guard = new ConnectionGuard(connection, limits, memory);
        connection.getSourceChannel().setConduit(guard);
        return guard;
    }

    /** Returns the guard of an exchange's connection. */
    static Optional<ConnectionGuard> of(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof AbstractServerConnection connection
                        && connection.getOriginalSourceConduit() instanceof ConnectionGuard guard
                ? Optional.of(guard)
                : Optional.empty();
    }

    /** Records that a head is complete, and returns the size of its headers, in bytes. */
    int beginRequest(HttpServerExchange exchange) {
        AbstractServerConnection server = (AbstractServerConnection) exchange.getConnection();
        PooledByteBuffer later = server.getExtraBytes();
        int lineBytes = exchange.getRequestMethod().length()
                + exchange.getRequestURI().length()
                + exchange.getQueryString().length();
        int size = headBytes - (later == null ? 0 : later.getBuffer().remaining()) - lineBytes;
        enter(exchange.isRequestComplete() ? State.REQUEST : State.BODY);
        return Math.max(size, 0);
    }

    /**
     * Returns whether the connection has had a head whose memory it holds until it is closed, since the parser keeps
     * its buffer for the next one.
     */
    boolean holdsHeadMemory() {
        return reservedHeadBytes > SMALL_HEAD_BYTES;
    }

    /** Sets what gives up the body that is being received if the connection is closed meanwhile. */
    void receiveBody(Runnable abandon) {
        abandonBody = abandon;
    }

    /** Records that the whole request has been received. */
    void endBody() {
        abandonBody = NOTHING;
        enter(State.REQUEST);
    }

    /** Records that the request has ended, so that another one may begin. */
    void endRequest() {
        enter(State.IDLE);
    }

    /** Records that the last request has ended; closes the connection once its client has closed it, too. */
    void endLastRequest(HttpServerExchange exchange) {
        enter(State.CLOSING);
        lingering = Optional.of(LingeringClose.begin(connection, exchange));
    }

    private void enter(State newState) {
        state = newState;
        stateNanos = System.nanoTime();
        headBytes = 0;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Returns whether a whole request has been received and not been answered. */
    boolean hasRequest() {
        return state == State.REQUEST;
    }

    /** Returns whether a part of a head has been received. */
    boolean hasPartOfHead() {
        return state == State.HEAD;
    }

    /** Returns when the present state began. */
    long stateNanos() {
        return stateNanos;
    }

    /** Returns whether the connection has waited for a head for longer than allowed. */
    boolean isOverdue(long nowNanos) {
        long waitedMs = (nowNanos - stateNanos) / 1_000_000;
        return switch (state) {
            case IDLE -> waitedMs >= limits.get().idleTimeoutMs();
            case HEAD -> waitedMs >= limits.get().headerTimeoutMs();
            case BODY, REQUEST -> false;
            case CLOSING -> waitedMs >= LingeringClose.MAX_MS;
        };
    }

    /** Closes the connection. */
    void close() {
        IoUtils.safeClose(connection);
        releaseHead();
        abandonBody.run();
    }

    /** Returns the memory of the heads of a closed connection. */
    void releaseHead() {
        lingering.ifPresent(LingeringClose::cancel);
        headMemory.close();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (!target.hasRemaining()) {
            return 0;
        }
        if (turnBytes <= 0) {
            // The reader waits for readability then, which comes after that of other connections.
            turnBytes = BYTES_PER_TURN;
            return 0;
        }
        checkHead();
        if (waitsForMemory) {
            return 0;
        }
        int limit = target.limit();
        target.limit(target.position() + Math.min(target.remaining(), turnBytes));
        try {
            int count = next.read(target);
            turnBytes = count > 0 ? turnBytes - count : BYTES_PER_TURN;
            record(count);
            return count;
        } finally {
            target.limit(limit);
        }
    }

    private void record(int count) {
        if (count > 0 && state != State.REQUEST) {
            if (state == State.IDLE) {
                enter(State.HEAD);
            }
            headBytes = headBytes + count;
        }
    }

    /**
     * Fails if the head has no end within its limit. Without memory for more of it, it waits until its time is over: a
     * client whose connection is closed at once comes back at once.
     */
    private void checkHead() throws FramingException {
        if (state != State.HEAD || headBytes <= SMALL_HEAD_BYTES) {
            return;
        }
        int maxBytes = limits.get().maxHeaderBytes() + HEAD_EXTRA_BYTES;
        if (headBytes > maxBytes) {
            throw new FramingException("head: more than " + maxBytes + " bytes without an end");
        }
        if (headBytes > reservedHeadBytes && !reserveHead()) {
            waitsForMemory = true;
            super.suspendReads();
        }
    }

    /** Reserves memory for a whole head, since many that grow together would each get a part; then for what exceeds. */
    private boolean reserveHead() {
        int wholeBytes = Math.max(limits.get().maxHeaderBytes(), headBytes + HEAD_STEP_BYTES);
        if (!headMemory.tryAdd((long) MEMORY_PER_HEAD_BYTE * (wholeBytes - reservedHeadBytes))) {
            return false;
        }
        reservedHeadBytes = wholeBytes;
        return true;
    }

    /** Goes on with a head that waits for memory, if there is enough by now. */
    void retryHead() {
        if (waitsForMemory && isOpen() && reserveHead()) {
            waitsForMemory = false;
            if (readsWanted) {
                super.wakeupReads();
            }
        }
    }

    @Override
    public void resumeReads() {
        readsWanted = true;
        if (!waitsForMemory) {
            super.resumeReads();
        }
    }

    @Override
    public void wakeupReads() {
        readsWanted = true;
        if (!waitsForMemory) {
            super.wakeupReads();
        }
    }

    @Override
    public void suspendReads() {
        readsWanted = false;
        super.suspendReads();
    }
}
