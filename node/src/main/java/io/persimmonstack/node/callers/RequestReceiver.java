package io.persimmonstack.node.callers;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.router.callers.CallerWatch;
import io.persimmonstack.router.callers.UndertowReply;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;

/** Receives each request whole on the I/O thread and then handles it on a virtual thread of its own. */
public final class RequestReceiver implements HttpHandler, AutoCloseable {
    private static final long CALLER_WRITE_TIMEOUT_MS = 10_000;
    private static final int BAD_REQUEST = 400;
    private final RequestServer server;
    private final ExecutorService executor;
    private final BooleanSupplier draining;
    private final CallerWatch callerWatch = CallerWatch.start();
    private final AtomicInteger openRequests = new AtomicInteger();

    private RequestReceiver(RequestServer server, ExecutorService executor, BooleanSupplier draining) {
        this.server = server;
        this.executor = executor;
        this.draining = draining;
    }

    /**
     * Returns a receiver.
     *
     * @param server serves each request
     * @param executor starts a virtual thread for each request
     * @param draining whether callers are asked to close their connections
     */
    public static RequestReceiver of(RequestServer server, ExecutorService executor, BooleanSupplier draining) {
        return new RequestReceiver(server, executor, draining);
    }

    /** Returns the number of requests received or in progress. */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        openRequests.incrementAndGet();
        AtomicBoolean counted = new AtomicBoolean(true);
        Runnable onFinished = () -> {
            if (counted.compareAndSet(true, false)) {
                openRequests.decrementAndGet();
            }
        };
        exchange.addExchangeCompleteListener((done, next) -> {
            onFinished.run();
            next.proceed();
        });
        exchange.getConnection().addCloseListener(closed -> onFinished.run());
        if (hasAmbiguousLength(exchange)) {
            exchange.setPersistent(false);
            exchange.setStatusCode(BAD_REQUEST);
            exchange.endExchange();
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> received.dispatch(executor, () -> serve(received, body)),
                        RequestReceiver::closeConnection);
    }

    /** Returns whether the end of the body could be understood in two ways, so that a second request may hide in it. */
    private static boolean hasAmbiguousLength(HttpServerExchange exchange) {
        HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        boolean chunked = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
        return lengths != null
                && (chunked || lengths.size() > 1 || lengths.getFirst().indexOf(',') >= 0);
    }

    private static void closeConnection(HttpServerExchange exchange, IOException e) {
        IoUtils.safeClose(exchange.getConnection());
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        long receivedNanos = System.nanoTime();
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        UndertowReply reply = UndertowReply.to(exchange, id == null ? "" : id, CALLER_WRITE_TIMEOUT_MS, callerWatch);
        if (draining.getAsBoolean()) {
            reply.closeAfterwards();
        }
        Thread thread = Thread.currentThread();
        reply.onCallerGone(thread::interrupt);
        server.serve(toRawRequest(exchange, body), receivedNanos, reply);
    }

    private static RawRequest toRawRequest(HttpServerExchange exchange, byte[] body) {
        String path = exchange.getRequestURI();
        String query = exchange.getQueryString();
        return new RawRequest(
                exchange.getRequestMethod().toString(),
                path,
                query.isEmpty() ? path : path + "?" + query,
                headers(exchange),
                body);
    }

    private static List<HttpHeader> headers(HttpServerExchange exchange) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            values.forEach(
                    value -> headers.add(HttpHeader.of(values.getHeaderName().toString(), value)));
        }
        return headers;
    }

    @Override
    public void close() {
        callerWatch.close();
    }
}
