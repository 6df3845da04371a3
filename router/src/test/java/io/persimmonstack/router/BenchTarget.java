package io.persimmonstack.router;

import io.undertow.Undertow;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/**
 * Engine of the benchmark: answers after the time in {@code max_tokens} in milliseconds, or streams tokens at a fixed
 * interval. The text of each token is the time of its write. Stateless; runs on its I/O threads only.
 */
final class BenchTarget implements AutoCloseable {
    /** Tokens per streamed answer. */
    static final int TOKENS = 32;

    private static final int TOKEN_INTERVAL_MS = 32;
    static final int STREAM_MS = TOKENS * TOKEN_INTERVAL_MS;
    private static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");
    private static final String WHOLE_ANSWER = "{\"choices\":[{\"message\":{\"content\":\"because\"}}]}";
    private final Undertow server;

    private BenchTarget(Undertow server) {
        this.server = server;
    }

    static BenchTarget start() {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(2)
                .setWorkerThreads(1)
                .setHandler(BenchTarget::receive)
                .build();
        server.start();
        return new BenchTarget(server);
    }

    String address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "127.0.0.1:" + bound.getPort();
    }

    private static void receive(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullString((received, body) -> {
            String id = received.getRequestHeaders().getFirst(REQUEST_ID);
            if (id != null) {
                received.getResponseHeaders().put(REQUEST_ID, id);
            }
            boolean stream = body.contains("\"stream\":true");
            int answerDelayMs = stream ? 0 : intValue(body, "\"max_tokens\":");
            received.dispatch(SameThreadExecutor.INSTANCE, () -> startAnswer(received, stream, answerDelayMs));
        });
    }

    private static int intValue(String body, String key) {
        int start = body.indexOf(key) + key.length();
        int end = start;
        while (Character.isDigit(body.charAt(end))) {
            end++;
        }
        return Integer.parseInt(body.substring(start, end));
    }

    private static void startAnswer(HttpServerExchange exchange, boolean stream, int answerDelayMs) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, stream ? "text/event-stream" : "application/json");
        if (stream) {
            schedule(exchange, TOKEN_INTERVAL_MS, () -> sendToken(exchange, 0));
        } else if (answerDelayMs == 0) {
            exchange.getResponseSender().send(WHOLE_ANSWER);
        } else {
            schedule(exchange, answerDelayMs, () -> exchange.getResponseSender().send(WHOLE_ANSWER));
        }
    }

    private static void schedule(HttpServerExchange exchange, int ms, Runnable task) {
        exchange.getIoThread().executeAfter(task, ms, TimeUnit.MILLISECONDS);
    }

    private static void sendToken(HttpServerExchange exchange, int index) {
        boolean last = index == TOKENS;
        String event = last
                ? "data: [DONE]\n\n"
                : "data: {\"choices\":[{\"delta\":{\"content\":\"" + System.nanoTime() + "\"}}]}\n\n";
        ByteBuffer bytes = ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8));
        exchange.getResponseSender().send(bytes, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange done, Sender sender) {
                if (last) {
                    done.endExchange();
                } else {
                    schedule(done, TOKEN_INTERVAL_MS, () -> sendToken(done, index + 1));
                }
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                IoUtils.safeClose(failed.getConnection());
            }
        });
    }

    @Override
    public void close() {
        server.stop();
    }
}
