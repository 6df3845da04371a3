import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Nearly half of the runners answer with bytes without end, until the node closes the channel, while many requesters
 * come at once. Then these runners are replaced and all is calm; the nodes have to serve as before.
 */
final class EndlessReports extends AfterLoad {
    private static final int RUNNERS = 13;
    private static final int FAULTY = 6;
    private static final int NODES = 3;
    private static final int LOAD_SECONDS = 20;
    private static final int CALM_SECONDS = 14;
    private static final long PAUSE_MS = 6;
    private static final int LIMIT_MS = 12_000;
    private static final Runner.Kind KIND = new Runner.Kind("models", 32, 0, 40, 50, 2, 500);

    /** Runner that answers without end. */
    private static final class EndlessRunner extends Runner {
        private static final String PIECE = "x".repeat(16_384);
        private static final long PIECE_INTERVAL_MS = 100;
        private volatile boolean endless;

        EndlessRunner(String id, Record record) throws IOException {
            super(id, "1", KIND, record, List.of("m0"));
        }

        @Override
        void answer(Http.Head head, byte[] body, Socket socket, OutputStream out)
                throws IOException, InterruptedException {
            if (!endless) {
                super.answer(head, body, socket, out);
                return;
            }
            write(out, "HTTP/1.1 200 OK\r\n\r\n");
            while (!closed) {
                write(out, PIECE);
                Thread.sleep(PIECE_INTERVAL_MS);
            }
        }
    }

    public static void main(String[] arguments) {
        run(new EndlessReports(), arguments);
    }

    @Override
    List<String> play() throws Exception {
        Map<String, Object> added = Manifest.route("r-added", "/added/", "safe", 1_500, 100, "desk", 2);
        store.write("op/config", Manifest.text(3, 4, 2));
        addRunner(new Runner("desk-0", "1", new Runner.Kind("desk", 32, 20, 0, 0, 0, 0), record, List.of()));
        List<EndlessRunner> faulty = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            if (i < FAULTY) {
                EndlessRunner runner = new EndlessRunner("llm-" + i, record);
                faulty.add(runner);
                addRunner(runner);
            } else {
                addRunner(new Runner("llm-" + i, "1", KIND, record, List.of("m0")));
            }
        }
        startNodes(NODES);
        Thread.sleep(2_000);
        faulty.forEach(runner -> runner.endless = trouble);
        load();
        record.line("the load has ended");
        if (trouble) {
            faulty.forEach(Runner::crash);
        }
        Thread.sleep(CALM_SECONDS * 1_000);
        List<String> broken = new ArrayList<>();
        checkNodes(Manifest.text(9, 4, 2, List.of(added)), broken);
        return broken;
    }

    private void load() throws Exception {
        long endNanos = System.nanoTime() + LOAD_SECONDS * 1_000_000_000L;
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                int number = i;
                callers.submit(() -> chat(nodes.get(number % NODES), "chat-" + number, "m0", LIMIT_MS));
                Thread.sleep(PAUSE_MS);
            }
        }
    }
}
