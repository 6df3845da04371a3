import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Stand-in of a requester: one request on a new channel. */
final class Caller {
    /** How a request ended: its status, 0 if no answer came, and the events of a stream. */
    record Answer(int status, String headers, List<String> events, boolean whole, String body, String failure, long ms) {}

    private Caller() {}

    static int get(int port, String path, int timeoutMs) throws IOException {
        return send(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0], timeoutMs)
                .status();
    }

    static Answer send(int port, String head, byte[] body, int timeoutMs) throws IOException {
        return send(port, head, body, timeoutMs, Integer.MAX_VALUE, 0, Integer.MAX_VALUE);
    }

    /** Leaves a stream after a time, whatever has come. */
    static Answer sendAndLeave(int port, String head, byte[] body, int leaveMs) {
        return send(port, head, body, leaveMs, Integer.MAX_VALUE, 0, leaveMs);
    }

    /** Sends the body in pieces with a pause after each, as over a slower link. */
    static Answer sendSlowly(int port, String head, byte[] body, int timeoutMs, int pieceBytes, long pauseMs) {
        return send(port, head, body, timeoutMs, pieceBytes, pauseMs, Integer.MAX_VALUE);
    }

    private static Answer send(
            int port, String head, byte[] body, int timeoutMs, int pieceBytes, long pauseMs, int leaveMs) {
        long startNanos = System.nanoTime();
        List<String> events = new ArrayList<>();
        int status = 0;
        String headers = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int at = 0; at < body.length; at += Math.min(pieceBytes, body.length - at)) {
                socket.getOutputStream().write(body, at, Math.min(pieceBytes, body.length - at));
                socket.getOutputStream().flush();
                Thread.sleep(pauseMs);
            }
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.readHead(in);
            if (answer == null) {
                throw new EOFException("channel closed without an answer");
            }
            status = answer.status();
            headers = answer.headers().toString();
            if (answer.header("transfer-encoding") == null) {
                String text = new String(Http.readBody(in, answer), StandardCharsets.ISO_8859_1);
                return new Answer(status, headers, events, true, text, "", ms(startNanos));
            }
            StringBuilder text = new StringBuilder();
            while (true) {
                byte[] chunk = Http.readChunk(in);
                if (chunk.length == 0) {
                    return new Answer(status, headers, events, true, text.toString(), "", ms(startNanos));
                }
                text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                if (ms(startNanos) > leaveMs) {
                    return new Answer(status, headers, events, false, "", "left", ms(startNanos));
                }
                int end;
                while ((end = text.indexOf("\n\n")) >= 0) {
                    events.add(text.substring(0, end));
                    text.delete(0, end + 2);
                }
            }
        } catch (IOException | InterruptedException e) {
            return new Answer(status, headers, events, false, "", e.toString(), ms(startNanos));
        }
    }

    private static long ms(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
