package io.persimmonstack.backends.http;

import io.persimmonstack.backends.BackendEvent;
import io.persimmonstack.runtime.event.EventLog;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * HTTP call whose response head has arrived. Closing the call returns the connection to its owner, mostly the pool, if
 * the body was read to its end, and closes the connection otherwise.
 *
 * <pre>{@code
 * try (HttpCall call = connector.open(target, HttpRequest.get("/hosts"), timeouts)) {
 *     byte[] body = call.readAll(MAX_BYTES);
 * }
 * }</pre>
 */
public final class HttpCall implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(HttpCall.class);
    /** Interval at which the watcher is asked again about a peer that remains silent. */
    private static final int SILENCE_CHECK_INTERVAL_MS = 100;
    /** Longest time in which a whole body has to arrive, as a multiple of the timeout between two of its parts. */
    private static final int PROGRESS_TIMEOUTS_PER_BODY = 10;

    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;

    private final PooledConnection connection;
    private final ConnectionOwner owner;
    private final ExchangeDriver driver;
    private final ResponseBuffer buffer;
    private final HttpTimeouts timeouts;
    private final BodyMemory memory;
    private volatile SilenceWatcher watcher;
    private volatile int progressMs;
    private final AtomicBoolean connectionReleased = new AtomicBoolean();
    private final InputStream body;
    private Optional<BodyLimit> bodyLimit = Optional.empty();
    private Optional<BodyUnit> unit = Optional.empty();
    private ClientResponse head;

    private HttpCall(
            PooledConnection connection,
            ConnectionOwner owner,
            ExchangeDriver driver,
            ResponseBuffer buffer,
            HttpTimeouts timeouts,
            BodyMemory memory,
            SilenceWatcher watcher) {
        this.connection = connection;
        this.owner = owner;
        this.driver = driver;
        this.buffer = buffer;
        this.timeouts = timeouts;
        this.memory = memory;
        this.watcher = watcher;
        this.progressMs = timeouts.progressMs();
        this.body = new BodyStream(this);
    }

    /** Sends a request on a connection and waits for the response head. The connection is closed if that fails. */
    static HttpCall open(
            PooledConnection connection,
            ConnectionOwner owner,
            HttpRequest request,
            HttpTimeouts timeouts,
            SilenceWatcher watcher,
            int maxBufferedBytes,
            BodyMemory memory,
            ResponseHeadGuard guard)
            throws HttpFailure {
        ResponseBuffer buffer = ResponseBuffer.ofCapacity(maxBufferedBytes);
        ExchangeDriver driver = ExchangeDriver.of(connection, request, buffer);
        HttpCall call = new HttpCall(connection, owner, driver, buffer, timeouts, memory, watcher);
        guard.add(driver);
        try {
            driver.start();
            call.awaitHead();
            return call;
        } finally {
            guard.remove(driver);
        }
    }

    /** Returns the HTTP status code. */
    public int status() {
        return head.getResponseCode();
    }

    /** Returns whether the status code means success (2xx). */
    public boolean isSuccess() {
        return status() >= MIN_SUCCESS_STATUS && status() < MIN_REDIRECT_STATUS;
    }

    /** Returns the first value of the named header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(head.getResponseHeaders().getFirst(name));
    }

    /** Returns all response headers; the values of one field are in the order in which they arrived. */
    public List<HttpHeader> headers() {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : head.getResponseHeaders()) {
            values.forEach(
                    value -> headers.add(HttpHeader.of(values.getHeaderName().toString(), value)));
        }
        return headers;
    }

    /**
     * Returns the response body. A read that fails throws an {@link IOException} whose cause is an {@link HttpFailure}.
     */
    public InputStream body() {
        return body;
    }

    /**
     * Reads the rest of the body within ten times the timeout between two of its parts.
     *
     * @param maxBytes largest body that is accepted, in bytes
     * @return the body
     * @throws HttpFailure if the body is larger, finds no memory or did not arrive completely
     */
    public byte[] readAll(int maxBytes) throws HttpFailure {
        long timeoutMs = (long) PROGRESS_TIMEOUTS_PER_BODY * timeouts.progressMs();
        return readAll(maxBytes, (int) Math.min(Integer.MAX_VALUE, timeoutMs));
    }

    /**
     * Reads the rest of the body. A large one takes memory that all calls of the connector share, until the call is
     * closed.
     *
     * @param maxBytes largest body that is accepted, in bytes
     * @param timeoutMs longest time until the end of the body, in milliseconds, even if parts of it keep arriving
     * @return the body
     * @throws HttpFailure if the body is larger, finds no memory or did not arrive completely
     */
    public byte[] readAll(int maxBytes, int timeoutMs) throws HttpFailure {
        bodyLimit.ifPresent(BodyLimit::close);
        bodyLimit = Optional.of(BodyLimit.of(timeoutMs, memory));
        try {
            byte[] content = body.readNBytes(maxBytes);
            if (body.read() >= 0) {
                throw abort(HttpFailure.Kind.TOO_LARGE, "response body larger than " + maxBytes + " bytes");
            }
            return content;
        } catch (IOException e) {
            if (e.getCause() instanceof HttpFailure failure) {
                throw failure;
            }
            throw abort(HttpFailure.Kind.LOST, e.getMessage());
        }
    }

    /**
     * Shortens the timeout between two parts of the body. A timeout longer than the present one has no effect.
     *
     * @param ms new timeout, in milliseconds
     */
    public void shortenProgressTimeout(int ms) {
        progressMs = Math.min(progressMs, ms);
    }

    /** Replaces the watcher that decides whether to give up the call while the peer is silent. */
    public void watch(SilenceWatcher newWatcher) {
        watcher = newWatcher;
    }

    /**
     * Begins the wait for the next unit of the body that matters to the reader, such as an event of a stream. From the
     * first call on, silence is measured from here and not from the last part: parts that do not complete a unit extend
     * no timeout.
     */
    public void beginUnit() {
        unit = Optional.of(BodyUnit.begin());
    }

    /** Closes the connection, so that the server stops sending; later reads of the body fail. */
    public void cancel() {
        abort(HttpFailure.Kind.CANCELLED, "cancelled");
    }

    @Override
    public void close() {
        bodyLimit.ifPresent(BodyLimit::close);
        if (buffer.isDrained()) {
            releaseConnection();
        } else {
            cancel();
        }
    }

    /** Returns the number of received bytes that have not been read yet. */
    int bufferedBytes() {
        return buffer.bufferedBytes();
    }

    /** Waits for the next part of the body; empty at the end of the body. */
    Optional<byte[]> nextPart() throws HttpFailure {
        int timeoutMs =
                Math.min(progressMs, bodyLimit.map(BodyLimit::remainingMs).orElse(progressMs));
        if (timeoutMs == 0) {
            throw abort(HttpFailure.Kind.PROGRESS_TIMEOUT, "response body incomplete when its time was over");
        }
        if (unit.isPresent()) {
            endOverdueUnit(unit.get());
        }
        ResponseBuffer.Part part =
                await(buffer::awaitPart, timeoutMs, HttpFailure.Kind.PROGRESS_TIMEOUT, "no response data");
        return switch (part) {
            case ResponseBuffer.Part.Bytes bytes -> consume(bytes);
            case ResponseBuffer.Part.End end -> {
                releaseConnection();
                yield Optional.empty();
            }
        };
    }

    /** Ends the call if the parts of a unit kept arriving until its timeout, or the watcher gives up their peer. */
    private void endOverdueUnit(BodyUnit overdue) throws HttpFailure {
        if (overdue.isTooLarge()) {
            throw abort(HttpFailure.Kind.TOO_LARGE, "too much response data without an event");
        }
        boolean givenUp = overdue.isCheckDue(watcher.silentAfterMs(), SILENCE_CHECK_INTERVAL_MS)
                && watcher.giveUp(silentPeer(buffer.isEmpty() ? buffer::isEmpty : () -> true));
        if (givenUp || overdue.lastPartMs() >= progressMs) {
            throw abort(HttpFailure.Kind.PROGRESS_TIMEOUT, "no event within " + overdue.lastPartMs() + " ms");
        }
    }

    private Optional<byte[]> consume(ResponseBuffer.Part.Bytes bytes) throws HttpFailure {
        if (bodyLimit.isPresent() && !bodyLimit.get().admits(bytes.content().length)) {
            throw abort(HttpFailure.Kind.TOO_LARGE, "no memory for more of the response body");
        }
        unit.ifPresent(current -> current.record(bytes.content().length));
        if (bytes.resumeReading()) {
            driver.resumeReading();
        }
        return Optional.of(bytes.content());
    }

    private SilenceWatcher.SilentPeer silentPeer(BooleanSupplier stillSilent) {
        return new SilenceWatcher.SilentPeer() {
            @Override
            public boolean isStillSilent() {
                return stillSilent.getAsBoolean();
            }

            @Override
            public void disconnect() {
                cancel();
            }
        };
    }

    private void awaitHead() throws HttpFailure {
        head = await(
                buffer::awaitHead, timeouts.firstByteMs(), HttpFailure.Kind.FIRST_BYTE_TIMEOUT, "no response head");
    }

    /** Waits for something to arrive in the buffer; empty after a timeout, in milliseconds. */
    @FunctionalInterface
    private interface Arrival<T> {
        Optional<T> await(int timeoutMs) throws HttpFailure, InterruptedException;
    }

    /**
     * Waits for data, and ends the call after a timeout, or earlier if the watcher gives up the silent peer.
     *
     * @param arrival data to wait for
     * @param timeoutMs longest wait, in milliseconds
     * @param kind kind of the failure after a timeout
     * @param missing description of the data
     */
    private <T> T await(Arrival<T> arrival, int timeoutMs, HttpFailure.Kind kind, String missing) throws HttpFailure {
        long startNanos = System.nanoTime();
        try {
            int nextWaitMs = Math.min(timeoutMs, watcher.silentAfterMs());
            Optional<T> arrived = arrival.await(nextWaitMs);
            long elapsedMs = nextWaitMs;
            while (arrived.isEmpty() && elapsedMs < timeoutMs && !watcher.giveUp(silentPeer(buffer::isEmpty))) {
                elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                arrived = arrival.await((int) Math.clamp(timeoutMs - elapsedMs, 0, SILENCE_CHECK_INTERVAL_MS));
            }
            if (arrived.isPresent()) {
                return arrived.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw abort(HttpFailure.Kind.CANCELLED, "interrupted");
        }
        throw abort(kind, missing + " within " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + " ms");
    }

    /**
     * Ends the call with a failure and closes the connection. After a timeout, the idle connections to the same target
     * are closed too, since the target may be unreachable.
     */
    private HttpFailure abort(HttpFailure.Kind kind, String reason) {
        boolean sent = driver.abandon();
        HttpFailure failure = new HttpFailure(kind, driver.describe() + ": " + reason, sent, null);
        buffer.fail(failure);
        if (connectionReleased.compareAndSet(false, true)) {
            connection.close(CloseCause.of(kind));
            if (CloseCause.of(kind) == CloseCause.SILENT) {
                LOG.write(BackendEvent.CONNECTION_SILENT, failure.getMessage());
                owner.closeIdle(connection.target());
            }
        }
        return failure;
    }

    private void releaseConnection() {
        if (!connectionReleased.compareAndSet(false, true)) {
            return;
        }
        if (driver.requestComplete() && isReusable()) {
            owner.release(
                    connection,
                    KeepAliveHeader.maxIdleMs(head.getResponseHeaders().getFirst("Keep-Alive")));
        } else {
            connection.close(CloseCause.LAST);
        }
    }

    private boolean isReusable() {
        String option = head.getResponseHeaders().getFirst(Headers.CONNECTION);
        boolean closeRequested = option != null && Headers.CLOSE.equalToString(option);
        return !closeRequested && Protocols.HTTP_1_1.equals(head.getProtocol());
    }

    /** Presents the parts of the body as a stream. Reading past the last part returns the connection to the pool. */
    private static final class BodyStream extends InputStream {
        private final HttpCall call;
        private byte[] part = new byte[0];
        private int position;
        private boolean atEnd;

        private BodyStream(HttpCall call) {
            this.call = call;
        }

        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
        }

        @Override
        public int read(byte[] target, int offset, int length) throws IOException {
            if (length == 0) {
                return 0;
            }
            if (position == part.length && !fetchPart()) {
                return -1;
            }
            int count = Math.min(length, part.length - position);
            System.arraycopy(part, position, target, offset, count);
            position += count;
            return count;
        }

        @Override
        public int available() {
            return part.length - position;
        }

        @Override
        public void close() {
            call.close();
        }

        private boolean fetchPart() throws IOException {
            if (atEnd) {
                return false;
            }
            try {
                Optional<byte[]> next = call.nextPart();
                atEnd = next.isEmpty();
                part = next.orElseGet(() -> new byte[0]);
                position = 0;
                return !atEnd;
            } catch (HttpFailure e) {
                throw new IOException(e.getMessage(), e);
            }
        }
    }
}
