import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

/**
 * Frame of a script: the store, the runners and the nodes of a small installation. A script exits with 1 if the rule was
 * broken, with 0 if it held and with 2 if the case could not run; it ends all processes that it started.
 */
abstract class Scenario {
    /** The case could not be brought about, so that nothing was shown. */
    static final class NotRun extends Exception {
        private static final long serialVersionUID = 1;

        NotRun(String message) {
            super(message);
        }
    }

    private static final long MAX_SECONDS = 116;

    Record record;
    Store store;
    Path temporary;
    Path repository;
    boolean trouble;
    private final AtomicBoolean ended = new AtomicBoolean();
    final List<Runner> runners = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();

    /** Plays the case; returns what broke the rule, empty if it held. */
    abstract List<String> play() throws Exception;

    /** Arguments: the folder of the case, the root of the repository. */
    static void run(Scenario scenario, String[] arguments) {
        Path folder = Path.of(arguments[0]).toAbsolutePath();
        scenario.repository = Path.of(arguments[1]).toAbsolutePath();
        scenario.trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try {
            scenario.temporary = Files.createTempDirectory("review");
            scenario.record = new Record(folder.resolve("record.txt"));
            scenario.record.line("trouble: %s", scenario.trouble);
            scenario.store = new Store(scenario.record);
            Runtime.getRuntime().addShutdownHook(new Thread(scenario::close));
            Thread.ofPlatform().daemon().start(scenario::stopLate);
            List<String> broken = scenario.play();
            broken.forEach(line -> scenario.record.line("BROKEN %s", line));
            scenario.record.line(broken.isEmpty() ? "the rule held" : "the rule was broken");
            System.out.println(broken.isEmpty() ? "held" : "broken: " + broken.getFirst());
            code = broken.isEmpty() ? 0 : 1;
        } catch (Exception | Error e) {
            System.out.println("not run: " + e);
            if (scenario.record != null) {
                scenario.record.line("not run: %s", e);
            }
            code = 2;
        } finally {
            scenario.close();
        }
        System.exit(code);
    }

    /** Ends a script that would run longer than it may. */
    private void stopLate() {
        try {
            Thread.sleep(MAX_SECONDS * 1_000);
        } catch (InterruptedException e) {
            return;
        }
        System.out.println("not run: longer than " + MAX_SECONDS + " s");
        close();
        Runtime.getRuntime().halt(2);
    }

    /** Ends all processes and removes the temporary folder, once. */
    private void close() {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        nodes.forEach(Node::close);
        runners.forEach(Runner::close);
        if (store != null) {
            store.close();
        }
        if (temporary == null) {
            return;
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + temporary);
            return;
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("left behind: " + e);
        }
    }

    Runner addRunner(Runner runner) {
        runners.add(runner);
        runner.register(store);
        return runner;
    }

    Node addNode(String name) throws IOException {
        Node node = Node.start(name, store.port(), temporary, repository);
        nodes.add(node);
        return node;
    }

    void startNodes(int count) throws Exception {
        for (int i = 1; i <= count; i++) {
            addNode("node-" + i);
        }
        for (Node node : nodes) {
            node.awaitReady(40);
        }
    }

    static String head(String method, String path, String id, int deadlineMs, int length, String... more) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Manifest.HOST
                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nConnection: close\r\n");
        if (length >= 0) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        for (String line : more) {
            head.append(line).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    /** Sends a stream request for a model. */
    Caller.Answer chat(Node node, String id, String model, int deadlineMs, String... more) throws IOException {
        String[] lines = Stream.concat(
                        Stream.of("X-Model: " + model, "X-Token-Count: 60,20", "X-Prompt-Prefix: a1:20,b2:20," + id.hashCode() + ":20"),
                        Stream.of(more))
                .toArray(String[]::new);
        Caller.Answer answer =
                Caller.send(node.front, head("POST", "/chat/x", id, deadlineMs, 2, lines), "{}".getBytes(), deadlineMs + 500);
        record.line("caller %s at %s %s: %d, %d events, %s after %d ms %s", id, node.name, model, answer.status(),
                answer.events().size(), answer.whole() ? "whole" : "not whole", answer.ms(), answer.failure());
        return answer;
    }
}
