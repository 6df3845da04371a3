package io.persimmonstack.coordination.crowd;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Crowds of an HTTP listener that accepts {@code GET}. Their inputs are the same for all listeners. */
public enum HttpCrowd {
    /** Empty lines before a request. */
    EMPTY_LINES,
    /** A header that goes on for ever. */
    ENDLESS_HEADER,
    /** Headers that go on for ever. */
    ENDLESS_HEADERS,
    /** Heads of a legal size without their last line, on more connections than the process may have. */
    UNFINISHED_HEADS,
    /** Whole requests with heads of a legal size, each on a connection of its own. */
    LONG_HEADS,
    /** Connections on which nothing is sent, more than the process may have. */
    SILENT;

    private static final int CLIENTS = 40;
    private static final int MANY_CLIENTS = 1_500;
    private static final int PIECE_BYTES = 32 * 1024;
    private static final int LEGAL_HEAD_BYTES = 16_000;
    private static final int REQUESTING_CLIENTS = 100;
    /** Requests of each of these clients, one after the other. */
    private static final int REQUESTS = 100;

    private static final int LONG_HEADER_BYTES = 15_400;
    /** Time for which clients that send endless input are let do so. */
    private static final long ENDLESS_MS = 4_000;
    /** Time for which other clients may send; a crowd that is refused ends earlier. */
    private static final long SENDING_MS = 20_000;

    private static final String HEAD = "GET /health HTTP/1.1\r\nHost: h\r\n";
    private static final String HEADER = "X-More: a\r\n";
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    /** Lets this crowd loose on a port and checks the process. */
    public void check(CrowdCheck check, int port) throws IOException, InterruptedException {
        switch (this) {
            case EMPTY_LINES -> checkEndless(check, port, "", "\r\n");
            case ENDLESS_HEADER -> checkEndless(check, port, HEAD + "X-Long: ", "a");
            case ENDLESS_HEADERS -> checkEndless(check, port, HEAD, HEADER);
            case UNFINISHED_HEADS -> {
                // One header, since the number of headers has a bound of its own.
                byte[] head = bytes(HEAD + "X-Long: " + "a".repeat(LEGAL_HEAD_BYTES));
                check.checkDuring(Crowd.startOnce(MANY_CLIENTS, port, out -> out.write(head)), SENDING_MS);
            }
            case LONG_HEADS -> {
                byte[] request =
                        bytes(HEAD + "Connection: close\r\nX-Long: " + "a".repeat(LONG_HEADER_BYTES) + "\r\n\r\n");
                check.checkDuring(
                        Crowd.startRepeating(REQUESTING_CLIENTS, port, REQUESTS, out -> out.write(request)),
                        SENDING_MS);
            }
            case SILENT -> check.checkDuring(Crowd.startOnce(MANY_CLIENTS, port, out -> out.flush()), SENDING_MS);
            default -> throw new IllegalStateException(name());
        }
    }

    private static void checkEndless(CrowdCheck check, int port, String start, String repeated)
            throws IOException, InterruptedException {
        byte[] piece = bytes(repeated.repeat(PIECE_BYTES / repeated.length()));
        check.checkDuring(Crowd.startEndless(CLIENTS, port, bytes(start), piece), ENDLESS_MS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns a request that is answered once {@code GET} of a path gets 200. */
    public static CrowdCheck.OrdinaryRequest get(HttpClient client, int port, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(ANSWER_TIMEOUT)
                .build();
        return () -> {
            try {
                return client.send(request, HttpResponse.BodyHandlers.ofString())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                // Refused at the start, or closed; the next attempt follows.
                return false;
            }
        };
    }
}
