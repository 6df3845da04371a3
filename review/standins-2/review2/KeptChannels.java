package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary clients, each on one channel that it keeps for many requests that may not be repeated. Counts those that a
 * runner ran and whose channel ended without an answer.
 */
final class KeptChannels {
    private static final AtomicInteger COUNT = new AtomicInteger();
    private static final int LIMIT_MS = 3_000;
    private final Node node;
    private final Runner runner;
    private final AtomicBoolean over = new AtomicBoolean();
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    /** Requests without an answer half a second after their time limit, which is also their route's timeout. */
    final AtomicInteger late = new AtomicInteger();
    /** Requests that were answered within that half second. */
    final AtomicInteger justLate = new AtomicInteger();

    private KeptChannels(Node node, Runner runner) {
        this.node = node;
        this.runner = runner;
    }

    static KeptChannels open(Node node, Runner runner, int channels) {
        KeptChannels kept = new KeptChannels(node, runner);
        for (int i = 0; i < channels; i++) {
            int delayMs = i * 61;
            Thread.ofVirtual().start(() -> kept.use(delayMs));
        }
        return kept;
    }

    private void use(int delayMs) {
        Clock.sleep(delayMs);
        while (!over.get() && node.alive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", node.port), 1_000);
                socket.setSoTimeout(LIMIT_MS + 500);
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                int before = 0;
                while (!over.get() && ask(socket, in, before > 0)) {
                    before++;
                }
            } catch (IOException e) {
                Record.write("channel: " + e.getMessage());
                Clock.sleep(200);
            }
        }
    }

    /** Sends a request and reads its answer; returns whether the channel can be used again. */
    private boolean ask(Socket socket, InputStream in, boolean kept) {
        String request = "%016x".formatted(0x7000_0000L + COUNT.incrementAndGet());
        long sentMs = Clock.ms();
        try {
            socket.getOutputStream().write(("POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + request
                    + "\r\nX-Deadline-Ms: " + LIMIT_MS + "\r\nContent-Length: 4\r\n\r\nbody").getBytes());
            String head = head(in);
            if (head.isEmpty()) {
                return ended(request, kept, "closed");
            }
            in.skipNBytes(length(head));
            answered.incrementAndGet();
            justLate.addAndGet(Clock.ms() - sentMs > LIMIT_MS ? 1 : 0);
            return !head.toLowerCase().contains("connection: close");
        } catch (java.net.SocketTimeoutException e) {
            late.incrementAndGet();
            Record.write("request " + request + ": no answer within " + (LIMIT_MS + 500) + " ms, its limit was " + LIMIT_MS);
            return false;
        } catch (IOException e) {
            return ended(request, kept, e.getMessage());
        }
    }

    private boolean ended(String request, boolean kept, String how) {
        boolean ran = runner.hasRun(request);
        Record.write("request " + request + " on a channel " + (kept ? "kept" : "new") + ": channel " + how
                + ", no answer; the runner " + (ran ? "ran it" : "did not get it"));
        if (ran && kept) {
            lost.incrementAndGet();
        }
        return false;
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int length(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).strip());
            }
        }
        return 0;
    }

    void stop() {
        over.set(true);
    }
}
