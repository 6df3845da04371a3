import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Half of the runners of a service answer with bytes without end, a few a second, until the node closes the channel.
 * Requests have a final answer at their route's timeout all the same.
 */
final class Dribble extends Scenario {
    private static final int RUNNERS = 4;
    private static final int TIMEOUT_MS = 4_000;
    private static final int CALLER_LIMIT_MS = 12_000;
    private static final int REQUESTS = 300;
    private static final long PAUSE_MS = 25;
    /** By the rule: half a second after the timeout. */
    private static final long LATE_MS = TIMEOUT_MS + 500;

    /** Runner that can be made to answer without end. */
    private static final class EndlessRunner extends Runner {
        private static final long BYTE_INTERVAL_MS = 100;
        private volatile boolean endless;

        EndlessRunner(String id, Kind kind, Record record, List<String> models) throws IOException {
            super(id, "1", kind, record, models);
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
                write(out, "x");
                Thread.sleep(BYTE_INTERVAL_MS);
            }
        }
    }

    public static void main(String[] arguments) {
        run(new Dribble(), arguments);
    }

    @Override
    List<String> play() throws Exception {
        Map<String, Object> brief = Manifest.route("r-brief", "/brief/", "stream", TIMEOUT_MS, 1_500, "models", 2);
        store.write("op/config", Manifest.text(3, 2, 2, List.of(brief)));
        List<EndlessRunner> faulty = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            EndlessRunner runner = new EndlessRunner(
                    "llm-" + i, new Runner.Kind("models", 32, 0, 6, 50, 2, 500), record, List.of("m0"));
            addRunner(runner);
            if (i % 2 == 0) {
                faulty.add(runner);
            }
        }
        startNodes(3);
        Thread.sleep(2_000);
        for (int i = 0; i < 12; i++) {
            brief(nodes.get(i % nodes.size()), "warm-" + i);
        }
        if (trouble) {
            faulty.forEach(runner -> runner.endless = true);
            record.line("runners %s answer without end", faulty.stream().map(runner -> runner.id).toList());
        }
        List<Future<Caller.Answer>> answers = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < REQUESTS; i++) {
                int number = i;
                answers.add(callers.submit(() -> brief(nodes.get(number % nodes.size()), "brief-" + number)));
                Thread.sleep(PAUSE_MS);
            }
        }
        return judge(answers);
    }

    private Caller.Answer brief(Node node, String id) throws IOException {
        String head = head("POST", "/brief/x", id, CALLER_LIMIT_MS, 2, "X-Model: m0", "X-Token-Count: 60,20",
                "X-Prompt-Prefix: a1:20,b2:20," + Integer.toHexString(id.hashCode()) + ":20");
        Caller.Answer answer = Caller.send(node.front, head, "{}".getBytes(), CALLER_LIMIT_MS);
        record.line("caller %s at %s: %d, %d events, %s after %d ms %s", id, node.name, answer.status(),
                answer.events().size(), answer.whole() ? "whole" : "not whole", answer.ms(), answer.failure());
        return answer;
    }

    private List<String> judge(List<Future<Caller.Answer>> answers) throws Exception {
        int served = 0;
        int atTimeout = 0;
        int late = 0;
        for (Future<Caller.Answer> future : answers) {
            Caller.Answer answer = future.get();
            served += answer.status() == 200 && answer.whole() ? 1 : 0;
            atTimeout += answer.ms() > TIMEOUT_MS ? 1 : 0;
            late += answer.ms() > LATE_MS ? 1 : 0;
        }
        record.line("%d requests, %d served, %d unanswered at the timeout of %d ms, %d of them half a second later",
                answers.size(), served, atTimeout, TIMEOUT_MS, late);
        if (!trouble && served < answers.size()) {
            throw new NotRun("without the disruption " + (answers.size() - served) + " requests were not served");
        }
        return late >= 8 && late * 2 > atTimeout
                ? List.of("CONFIG: of " + atTimeout + " requests unanswered at their route's timeout, " + late
                        + " had no final answer half a second later")
                : List.of();
    }
}
