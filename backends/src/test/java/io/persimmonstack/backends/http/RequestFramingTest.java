package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;

/** Guards against requests in chunks whose end is taken for somewhere else than where their sender sees it. */
@Timeout(60)
class RequestFramingTest {
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_REQUEST =
            "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast";
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private Undertow server;

    @BeforeEach
    void start() {
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(this::receive)
                .build();
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private void receive(HttpServerExchange exchange) {
        if (RequestFraming.isAmbiguous(exchange)) {
            exchange.setPersistent(false);
            exchange.setStatusCode(400);
            exchange.endExchange();
            return;
        }
        RequestFraming.checkChunks(exchange);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> {
                            bodies.add(new String(body, StandardCharsets.ISO_8859_1));
                            received.endExchange();
                        },
                        (failed, e) -> IoUtils.safeClose(failed.getConnection()));
    }

    /** Sends text in packets of a size and returns all that the server answers until it closes the connection. */
    private String exchange(String text, int packetBytes) throws Exception {
        int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            for (int i = 0; i < text.length(); i += packetBytes) {
                String packet = text.substring(i, Math.min(text.length(), i + packetBytes));
                socket.getOutputStream().write(packet.getBytes(StandardCharsets.ISO_8859_1));
                TimeUnit.MICROSECONDS.sleep(packetBytes == 1 ? 500 : 0);
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "3\r\nabc\r\ngarbage\r\n\r\n",
                "3\r\nabc\r\n\r\n\r\n",
                "3\r\nabc\r\n-0\r\n\r\n",
                "3\r\nabc\r\n0x0\r\n\r\n",
                "3\r\nabc\r\n00000000000000000\r\n\r\n",
                "3\r\nabcdef\r\n0\r\n\r\n",
                "3\r\nabc\r\n0\r\nno trailer\r\n\r\n",
                "garbage\r\n\r\n"
            })
    void malformedBodyIsNotHandled(String body) throws Exception {
        assertEquals("", exchange(CHUNKED_HEAD + body + LAST_REQUEST, Integer.MAX_VALUE));
        assertEquals("", exchange(CHUNKED_HEAD + body + LAST_REQUEST, 1));
        assertEquals(List.of(), bodies);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void soundRequestsShareAConnection(int packetBytes) throws Exception {
        String chunks = "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
        exchange(CHUNKED_HEAD + chunks + CHUNKED_HEAD + chunks + LAST_REQUEST, packetBytes);
        assertEquals(List.of("abcde", "abcde", "last"), bodies);
    }

    @Test
    void largeBodyIsReadWhole() throws Exception {
        String data = "x".repeat(100_000);
        exchange(CHUNKED_HEAD + "186a0\r\n" + data + "\r\n0\r\n\r\n" + LAST_REQUEST, Integer.MAX_VALUE);
        assertEquals(List.of(data, "last"), bodies);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Content-Length: 3\r\nContent-Length: 3\r\n"
            })
    void ambiguousLengthIsRefused(String headers) throws Exception {
        String answer = exchange("POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n3\r\nabc\r\n0\r\n\r\n", 1_000);
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 400"), answer);
        assertEquals(List.of(), bodies);
    }
}
