package io.persimmonstack.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against close listeners that a connection keeps for each request it has carried, 72 bytes each. */
@Timeout(30)
class ConnectionEndTest {
    private static final int REQUESTS = 50;
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger firstListeners = new AtomicInteger();
    private volatile int lastListeners;

    @Test
    void connectionKeepsAsManyListenersAfterManyRequestsAsAfterOne() throws Exception {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setHandler(this::handle)
                .build();
        server.start();
        try (Socket client = new Socket()) {
            client.connect(
                    (InetSocketAddress) server.getListenerInfo().getFirst().getAddress());
            byte[] request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            for (int i = 0; i < REQUESTS; i++) {
                client.getOutputStream().write(request);
            }
            while (ended.get() < REQUESTS) {
                Thread.sleep(5);
            }
        } finally {
            server.stop();
        }
        assertEquals(firstListeners.get(), lastListeners);
        assertEquals(REQUESTS, ended.get());
    }

    private void handle(HttpServerExchange exchange) throws ReflectiveOperationException {
        ConnectionEnd.whenEnded(exchange, ended::incrementAndGet);
        lastListeners = closeListeners(exchange);
        firstListeners.compareAndSet(0, lastListeners);
        exchange.endExchange();
    }

    private static int closeListeners(HttpServerExchange exchange) throws ReflectiveOperationException {
        Field field = AbstractServerConnection.class.getDeclaredField("closeListeners");
        field.setAccessible(true);
        return ((Collection<?>) field.get(exchange.getConnection())).size();
    }
}
