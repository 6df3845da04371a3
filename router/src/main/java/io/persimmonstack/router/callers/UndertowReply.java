package io.persimmonstack.router.callers;

import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.runtime.http.AnswerBody;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.xnio.IoUtils;

/**
 * Reply to a caller over an Undertow exchange. Each write blocks until the connection has accepted the bytes, which
 * bounds the memory per reply. A caller that does not accept them within {@code slowCallerMs} is disconnected.
 */
public final class UndertowReply implements Reply {
    private static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    /** Time after which a part of an answer counts as not taken. A caller that reads takes it at once. */
    private static final long SLOW_AFTER_MS = 50;

    /** Bytes of a stream that may wait behind the part that is being written. */
    private static final long BUFFERED_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;
    private final String requestId;
    private final long slowCallerMs;
    private final AtomicReference<Runnable> callerGoneAction = new AtomicReference<>(() -> {});
    private final CallerWatch.WatchedCaller watchedCaller;
    private final AnswerMemory answers;
    private volatile boolean streaming;
    private volatile boolean begun;

    private UndertowReply(
            HttpServerExchange exchange,
            String requestId,
            long slowCallerMs,
            CallerWatch callerWatch,
            AnswerMemory answers) {
        this.answers = answers;
        this.exchange = exchange;
        this.requestId = requestId;
        this.slowCallerMs = slowCallerMs;
        this.watchedCaller =
                callerWatch.watch(exchange, () -> callerGoneAction.get().run());
    }

    /**
     * Returns the reply to an exchange and watches its caller until the answer is sent or, for a stream, has ended.
     *
     * @param exchange exchange to reply to
     * @param requestId value of the X-Request-Id header of the reply
     * @param slowCallerMs longest time in milliseconds that one write may take
     * @param callerWatch detects a caller that disconnects while it waits for the answer or for more of a stream
     * @param answers memory of what slow callers have not taken
     * @return the reply
     */
    public static UndertowReply to(
            HttpServerExchange exchange,
            String requestId,
            long slowCallerMs,
            CallerWatch callerWatch,
            AnswerMemory answers) {
        return new UndertowReply(exchange, requestId, slowCallerMs, callerWatch, answers);
    }

    @Override
    public void whole(int status, List<Header> headers, byte[] body) throws CallerGoneException {
        watchedCaller.close();
        setHead(status, headers);
        boolean withoutBody = status == NO_CONTENT
                || status == NOT_MODIFIED
                || exchange.getRequestMethod().equalToString("HEAD");
        if (!withoutBody) {
            exchange.setResponseContentLength(body.length);
            write(body);
        }
        end();
    }

    @Override
    public void begin(int status, List<Header> headers) {
        streaming = true;
        setHead(status, headers);
        if (exchange.isHttp11()) {
            // Without chunked encoding an answer with "Connection: close" ends where the connection ends, so that the
            // caller could not tell a truncated answer from a complete one.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
    }

    private void setHead(int status, List<Header> headers) {
        begun = true;
        exchange.setStatusCode(status);
        headers.forEach(
                header -> exchange.getResponseHeaders().add(HttpString.tryFromString(header.name()), header.value()));
        exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    }

    @Override
    public void write(byte[] part) throws CallerGoneException {
        if (part.length == 0) {
            return;
        }
        CompletableFuture<Void> written = new CompletableFuture<>();
        AnswerBody.send(exchange, part, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange done, Sender sender) {
                written.complete(null);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                written.completeExceptionally(e);
            }
        });
        awaitWrite(written, part.length + (streaming ? BUFFERED_BYTES : 0));
    }

    private void awaitWrite(CompletableFuture<Void> written, long heldBytes) throws CallerGoneException {
        try {
            if (!isDoneWithin(written, Math.min(SLOW_AFTER_MS, slowCallerMs))) {
                awaitSlowCaller(written, heldBytes);
            }
        } catch (TimeoutException e) {
            abort();
            throw new CallerGoneException("the caller accepted no data for " + slowCallerMs + " ms", e);
        } catch (ExecutionException e) {
            abort();
            throw new CallerGoneException("the connection to the caller failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            abort();
            throw new CallerGoneException("interrupted while writing to the caller", e);
        }
    }

    private static boolean isDoneWithin(CompletableFuture<Void> written, long ms)
            throws InterruptedException, ExecutionException {
        try {
            written.get(ms, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        }
    }

    private void awaitSlowCaller(CompletableFuture<Void> written, long heldBytes)
            throws InterruptedException, ExecutionException, TimeoutException {
        Runnable disconnect =
                () -> written.completeExceptionally(new IOException("memory for answers exhausted by slow callers"));
        try (AnswerMemory.Held ignored = answers.hold(heldBytes, disconnect)) {
            written.get(Math.max(slowCallerMs - SLOW_AFTER_MS, 1), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void end() throws CallerGoneException {
        watchedCaller.close();
        if (!exchange.getConnection().isOpen()) {
            throw new CallerGoneException("the connection to the caller is closed", null);
        }
        exchange.endExchange();
    }

    @Override
    public void abort() {
        watchedCaller.close();
        begun = true;
        IoUtils.safeClose(exchange.getConnection());
    }

    @Override
    public boolean begun() {
        return begun;
    }

    @Override
    public void onCallerGone(Runnable action) {
        callerGoneAction.set(action);
    }

    /** Closes the connection after this answer; call it before the answer begins. */
    public void closeConnectionAfterAnswer() {
        exchange.getResponseHeaders().put(Headers.CONNECTION, Headers.CLOSE.toString());
    }
}
