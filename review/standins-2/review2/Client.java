package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Sends single requests, each on a channel of its own. */
final class Client {
    private static final AtomicLong COUNT = new AtomicLong();

    private Client() {}

    /** Sends a request and returns the status of its answer, -1 without one. */
    static int send(int port, String method, String path, String headers, long deadlineMs) {
        String request = "%016x".formatted(0x1000_0000L + COUNT.incrementAndGet());
        String text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + request
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + headers
                + (method.equals("POST") ? "Content-Length: 4\r\n" : "") + "Connection: close\r\n\r\n"
                + (method.equals("POST") ? "body" : "");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout((int) deadlineMs + 1_000);
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes());
            out.flush();
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes());
            return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : -1;
        } catch (IOException e) {
            return -1;
        }
    }
}
