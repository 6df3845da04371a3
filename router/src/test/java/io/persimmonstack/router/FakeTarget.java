package io.persimmonstack.router;

import io.undertow.Undertow;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;

/** Engine or service whose behaviour a test sets, and which records the requests that it received. */
final class FakeTarget implements AutoCloseable {
    private static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");

    /** Request as the target received it; headers that were missing are empty strings. */
    record ReceivedRequest(String path, String body, String requestId, String idempotencyKey, String resumeFrom) {}

    /** Answers a request that has been received completely; an exception closes the connection. */
    interface Behaviour {
        void answer(HttpServerExchange exchange, ReceivedRequest received) throws Exception;
    }

    private final String name;
    private final int port;
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger closedConnections = new AtomicInteger();
    private volatile Behaviour behaviour;
    private Undertow server;

    private FakeTarget(String name, Behaviour behaviour) {
        this.name = name;
        this.behaviour = behaviour;
        this.server = listenOn(0);
        this.port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    private Undertow listenOn(int listenPort) {
        HttpHandler handler = this::receive;
        Undertow listening = Undertow.builder()
                .addHttpListener(listenPort, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(handler)
                .build();
        listening.start();
        return listening;
    }

    /** Ends, with all connections, and starts again at the same address after a pause. */
    synchronized void crash(int downMs) throws InterruptedException {
        server.stop();
        Thread.sleep(downMs);
        server = listenOn(port);
    }

    static FakeTarget start(String name, Behaviour behaviour) {
        return new FakeTarget(name, behaviour);
    }

    private void receive(HttpServerExchange exchange) {
        exchange.addExchangeCompleteListener((done, next) -> {
            inFlight.decrementAndGet();
            next.proceed();
        });
        exchange.getConnection().addCloseListener(connection -> closedConnections.incrementAndGet());
        inFlight.incrementAndGet();
        exchange.getRequestReceiver().receiveFullString((receivedExchange, body) -> {
            ReceivedRequest request = new ReceivedRequest(
                    receivedExchange.getRequestPath(),
                    body,
                    header(receivedExchange, "X-Request-Id"),
                    header(receivedExchange, "Idempotency-Key"),
                    header(receivedExchange, "X-Resume-From"));
            receivedRequests.add(request);
            receivedExchange.getResponseHeaders().put(REQUEST_ID, request.requestId());
            receivedExchange.dispatch(
                    Executors.newVirtualThreadPerTaskExecutor(), () -> runBehaviour(receivedExchange, request));
        });
    }

    private void runBehaviour(HttpServerExchange exchange, ReceivedRequest received) {
        try {
            behaviour.answer(exchange, received);
        } catch (Exception e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    String name() {
        return name;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    List<ReceivedRequest> receivedRequests() {
        return receivedRequests;
    }

    void setBehaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Returns how many connections of the router have been closed. */
    int closedConnections() {
        return closedConnections.get();
    }

    /** Answers with the given status, content type and body. */
    static Behaviour answer(int status, String type, String body) {
        return (exchange, received) -> {
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
            exchange.getResponseSender().send(body);
        };
    }

    /** Answers a whole chat completion with the given text. */
    static Behaviour completion(String text) {
        return answer(200, "application/json", "{\"choices\":[{\"message\":{\"content\":\"" + text + "\"}}]}");
    }

    /**
     * Streams tokens t1 to tn, starting after the one to resume from. Breaks the connection after {@code breakAfter}
     * tokens of one answer.
     */
    static Behaviour stream(int tokens, int breakAfter) {
        return (exchange, received) -> {
            int resumeFrom = received.resumeFrom().isEmpty() ? 0 : Integer.parseInt(received.resumeFrom());
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            send(exchange, "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
            for (int i = resumeFrom + 1; i <= tokens; i++) {
                if (i - resumeFrom > breakAfter) {
                    IoUtils.safeClose(exchange.getConnection());
                    return;
                }
                send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t" + i + " \"}}]}\n\n");
            }
            send(exchange, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
            send(exchange, "data: [DONE]\n\n");
            exchange.endExchange();
        };
    }

    /** Streams the given text with neither a length nor chunks, so that the answer ends with its connection. */
    static Behaviour streamWithoutLength(String text) {
        return (exchange, received) -> {
            exchange.setProtocol(Protocols.HTTP_1_0);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            send(exchange, text);
            exchange.endExchange();
        };
    }

    /** Writes a part of the answer and waits until it has been sent. */
    static void send(HttpServerExchange exchange, String part) throws Exception {
        java.util.concurrent.CompletableFuture<Void> sent = new java.util.concurrent.CompletableFuture<>();
        exchange.getResponseSender()
                .send(ByteBuffer.wrap(part.getBytes(StandardCharsets.UTF_8)), new io.undertow.io.IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange done, Sender sender) {
                        sent.complete(null);
                    }

                    @Override
                    public void onException(HttpServerExchange failed, Sender sender, java.io.IOException e) {
                        sent.completeExceptionally(e);
                    }
                });
        sent.get();
    }

    /** Closes the connection without an answer. */
    static Behaviour closeConnection() {
        return (exchange, received) -> IoUtils.safeClose(exchange.getConnection());
    }

    /** Never answers. */
    static Behaviour neverAnswer() {
        return (exchange, received) -> {};
    }

    @Override
    public synchronized void close() {
        server.stop();
    }
}
