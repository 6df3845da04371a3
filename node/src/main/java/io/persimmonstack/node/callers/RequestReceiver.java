package io.persimmonstack.node.callers;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.RequestFraming;
import io.persimmonstack.node.request.RawRequest;
import io.persimmonstack.router.callers.CallerWatch;
import io.persimmonstack.router.callers.UndertowReply;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;

/** Reads each request completely on the I/O thread, then serves it on its own virtual thread. */
public final class RequestReceiver implements HttpHandler, AutoCloseable {
    /** Longest time that a caller may take to read a part of its answer. */
    private static final long CALLER_WRITE_TIMEOUT_MS = 10_000;

    private static final int BAD_REQUEST = 400;
    private final RequestServer server;
    private final ExecutorService executor;
    private final BooleanSupplier draining;
    private final CallerWatch callerWatch = CallerWatch.start();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final Map<Thread, UndertowReply> serving = new ConcurrentHashMap<>();

    private RequestReceiver(RequestServer server, ExecutorService executor, BooleanSupplier draining) {
        this.server = server;
        this.executor = executor;
        this.draining = draining;
    }

    /**
     * Returns a receiver.
     *
     * @param server serves each request
     * @param executor runs each request on its own virtual thread
     * @param draining returns whether each connection is to be closed after its answer
     */
    public static RequestReceiver of(RequestServer server, ExecutorService executor, BooleanSupplier draining) {
        return new RequestReceiver(server, executor, draining);
    }

    /** Returns the number of requests that are being received or served. */
    public int openRequests() {
        return openRequests.get();
    }

    /** Interrupts the requests whose answer has not begun, so that each of them gets a refusal. */
    public void interruptUnanswered() {
        serving.forEach((thread, reply) -> {
            if (!reply.begun()) {
                thread.interrupt();
            }
        });
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
        if (RequestFraming.isAmbiguous(exchange)) {
            exchange.setPersistent(false);
            exchange.setStatusCode(BAD_REQUEST);
            exchange.endExchange();
            return;
        }
        RequestFraming.checkChunks(exchange);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> received.dispatch(executor, () -> serve(received, body)),
                        RequestReceiver::closeConnection);
    }

    private static void closeConnection(HttpServerExchange exchange, IOException e) {
        IoUtils.safeClose(exchange.getConnection());
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        long receivedNanos = System.nanoTime();
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        UndertowReply reply = UndertowReply.to(exchange, id == null ? "" : id, CALLER_WRITE_TIMEOUT_MS, callerWatch);
        if (draining.getAsBoolean()) {
            reply.closeConnectionAfterAnswer();
        }
        Thread thread = Thread.currentThread();
        reply.onCallerGone(thread::interrupt);
        serving.put(thread, reply);
        try {
            server.serve(toRawRequest(exchange, body), receivedNanos, reply);
        } finally {
            serving.remove(thread);
        }
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
