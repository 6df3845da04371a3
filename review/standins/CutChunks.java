import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty runner breaks off some of its answers, which come in chunks, and sends bytes that are no answer in place of the
 * rest. A requester must not take what it gets for the whole answer.
 */
final class CutChunks extends Scenario {
    private static final int REQUESTS = 900;
    /** One answer in so many of the faulty runner is spoiled: 2 in 100. */
    private static final int SPOILED_EVERY = 50;

    private static final int CALLERS = 12;
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new CutChunks(), arguments);
    }

    /** Runner that answers in chunks. */
    private final class ChunkRunner extends Runner {
        private final boolean faulty;

        ChunkRunner(String id, boolean faulty) throws IOException {
            super(id, "1", new Kind("desk", 6, 5, 0, 0, 0, 0), CutChunks.this.record, List.of());
            this.faulty = faulty;
        }

        @Override
        void send(OutputStream out, int status, String headers, String body) throws IOException {
            if (!headers.contains("X-Server-Seal")) {
                super.send(out, status, headers, body);
                return;
            }
            String first = body.substring(0, 9);
            String rest = body.substring(9);
            write(out, "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + chunk(first));
            if (faulty && answers.incrementAndGet() % SPOILED_EVERY == 0) {
                spoiled.incrementAndGet();
                record.line("runner %s breaks off the answer %s after 9 bytes", id, body);
                write(out, "\u0007#!~ no answer\r\n\r\n");
                throw new IOException("broken off");
            }
            write(out, chunk(rest) + "0\r\n\r\n");
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }

    @Override
    List<String> play() throws Exception {
        store.write("op/config", Manifest.text(3, 2, 2));
        for (int i = 0; i < 3; i++) {
            addRunner(new ChunkRunner("desk-" + i, trouble && i == 0));
        }
        startNodes(3);
        Thread.sleep(1_500);
        Queue<String> broken = new ConcurrentLinkedQueue<>();
        AtomicInteger whole = new AtomicInteger();
        try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            for (int i = 0; i < REQUESTS; i++) {
                int number = i;
                callers.submit(() -> pay(number, whole, broken));
            }
        }
        record.line("%d whole answers, %d of them cut", whole.get(), broken.size());
        if (!trouble && whole.get() < REQUESTS) {
            throw new NotRun((REQUESTS - whole.get()) + " requests were not served");
        }
        if (trouble && spoiled.get() == 0) {
            throw new NotRun("no answer was spoiled");
        }
        return List.copyOf(broken);
    }

    private Void pay(int number, AtomicInteger whole, Queue<String> broken) throws IOException {
        String id = String.format("pay-%05d", number);
        Caller.Answer answer =
                Caller.send(nodes.get(number % 3).front, head("POST", "/pay/x", id, 1_500, 2), "xx".getBytes(), 2_000);
        String expected = "done " + id + " 2";
        record.line("caller %s: %d, %s, body '%s' %s", id, answer.status(), answer.whole() ? "whole" : "not whole",
                answer.body().strip(), answer.failure());
        if (answer.status() == 200 && answer.whole()) {
            whole.incrementAndGet();
            if (!answer.body().equals(expected)) {
                broken.add("MIXED: request " + id + " got a 200 with the runner's seal and the body '" + answer.body()
                        + "'; the runner's whole body is '" + expected + "'");
            }
        }
        return null;
    }
}
