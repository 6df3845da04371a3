package io.persimmonstack.node.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.runtime.http.InputLimits;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.persimmonstack.wire.PeerAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a listener that stops accepting once it has as many connections as it may. */
@Timeout(60)
class HttpListenersTest {
    private static final int CALLERS_PORT = 1;
    /** Several times the bound of a listener in {@link #options}. */
    private static final int SILENT_CONNECTIONS = 60;

    private static final int TIMEOUT_MS = 30_000;
    private static final int READ_TIMEOUT_MS = 10_000;

    private final List<Socket> silent = new ArrayList<>();

    private static ListenerOptions options() {
        return new ListenerOptions(
                new PeerAddress("127.0.0.1", CALLERS_PORT),
                () -> new InputLimits(16_384, 1, TIMEOUT_MS, TIMEOUT_MS),
                ReceiveMemory.ofHeap(),
                refusal -> {},
                100);
    }

    /** Accepting used to pause until one of the silent connections was closed for another reason. */
    @Test
    void newConnectionIsServedWhileSilentOnesTakeAllPlaces() throws Exception {
        PeerAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new PeerAddress("127.0.0.1", free.getLocalPort());
        }
        try (HttpListeners listeners = HttpListeners.start(
                Map.of(address, exchange -> exchange.getResponseSender().send("ok")), options())) {
            for (int i = 0; i < SILENT_CONNECTIONS; i++) {
                silent.add(new Socket(address.ip(), address.port()));
            }
            assertEquals("HTTP/1.1 200 OK", statusLine(address));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    private static String statusLine(PeerAddress address) throws IOException {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }
}
