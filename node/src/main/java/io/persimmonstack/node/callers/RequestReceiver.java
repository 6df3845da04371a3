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
    private static final long SLOW_CALLER_MS = 10_000;
    private static final int BAD_REQUEST = 400;
    private final RequestServer server;
    private final ExecutorService threads;
    private final BooleanSupplier leaving;
    private final CallerWatch watch = CallerWatch.start();
    private final AtomicInteger open = new AtomicInteger();

    private RequestReceiver(RequestServer server, ExecutorService threads, BooleanSupplier leaving) {
        this.server = server;
        this.threads = threads;
        this.leaving = leaving;
    }

    /**
     * Returns a receiver.
     *
     * @param server serves each request
     * @param threads starts a virtual thread for each request
     * @param leaving whether callers are asked to close their connections
     */
    public static RequestReceiver of(RequestServer server, ExecutorService threads, BooleanSupplier leaving) {
        return new RequestReceiver(server, threads, leaving);
    }

    /** Returns the number of requests received or in progress. */
    public int open() {
        return open.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        open.incrementAndGet();
        AtomicBoolean counted = new AtomicBoolean(true);
        Runnable finished = () -> {
            if (counted.compareAndSet(true, false)) {
                open.decrementAndGet();
            }
        };
        exchange.addExchangeCompleteListener((done, next) -> {
            finished.run();
            next.proceed();
        });
        exchange.getConnection().addCloseListener(closed -> finished.run());
        if (isAmbiguous(exchange)) {
            exchange.setPersistent(false);
            exchange.setStatusCode(BAD_REQUEST);
            exchange.endExchange();
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> received.dispatch(threads, () -> serve(received, body)),
                        RequestReceiver::notReceived);
    }

    /** Returns whether the end of the body could be understood in two ways, so that a second request may hide in it. */
    private static boolean isAmbiguous(HttpServerExchange exchange) {
        HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        boolean chunked = exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING);
        return lengths != null
                && (chunked || lengths.size() > 1 || lengths.getFirst().indexOf(',') >= 0);
    }

    private static void notReceived(HttpServerExchange exchange, IOException e) {
        IoUtils.safeClose(exchange.getConnection());
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        long receivedNanos = System.nanoTime();
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        UndertowReply reply = UndertowReply.to(exchange, id == null ? "" : id, SLOW_CALLER_MS, watch);
        if (leaving.getAsBoolean()) {
            reply.closeAfterwards();
        }
        Thread thread = Thread.currentThread();
        reply.onCallerGone(thread::interrupt);
        server.serve(raw(exchange, body), receivedNanos, reply);
    }

    private static RawRequest raw(HttpServerExchange exchange, byte[] body) {
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
        watch.close();
    }
}
