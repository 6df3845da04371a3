package io.persimmonstack.router;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Raw connection of a caller, for behaviour that an HTTP client does not offer. */
final class CallerConnection implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 30_000;
    private final Socket socket;

    private CallerConnection(Socket socket) {
        this.socket = socket;
    }

    static CallerConnection open(Router router) throws IOException {
        Socket socket =
                new Socket(router.callersAddress().ip(), router.callersAddress().port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return new CallerConnection(socket);
    }

    void send(String method, String path, String body) throws IOException {
        write("%s %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(method, path, FakeFleet.CALLER_KEY, body.length(), body));
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads until the router closes the connection; fails after 30 s without data. */
    String readToEnd() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
