import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Many requesters send bodies as large as the manifest allows, at the same time. Once all is calm again the manifest
 * gets a route; each node that is still ready has to serve it, and to have models loaded that requests wait for.
 */
final class LargeBodies extends AfterLoad {
    private static final int NODES = 2;
    private static final int CALLERS_PER_NODE = 100;
    private static final int LOAD_SECONDS = 45;
    private static final int CALM_SECONDS = 14;
    /** The manifest allows 4,194,304. */
    private static final int LARGE_BYTES = 4_000_000;

    /** Sizes, each a quarter of the one before. */
    private static final int SIZES = 5;

    private static final int SMALL_BYTES = 600;
    private static final int PIECES = 100;
    private static final int PIECE_PAUSE_MS = 20;

    public static void main(String[] arguments) {
        run(new LargeBodies(), arguments);
    }

    @Override
    List<String> play() throws Exception {
        Map<String, Object> file = Manifest.route("r-file", "/file/", "unsafe", 9_000, 3_000, "desk", 1);
        Map<String, Object> added = Manifest.route("r-added", "/added/", "safe", 1_500, 100, "desk", 2);
        store.write("op/config", Manifest.text(3, 4, 2, List.of(file)));
        for (int i = 0; i < 3; i++) {
            addRunner(new Runner("desk-" + i, "1", new Runner.Kind("desk", 32, 20, 0, 0, 0, 0), record, List.of()));
        }
        addRunner(new Runner("llm-0", "1", new Runner.Kind("models", 32, 0, 40, 100, 2, 500), record, List.of("m0")));
        startNodes(NODES);
        Thread.sleep(2_000);
        upload();
        record.line("uploads have ended");
        Thread.sleep(CALM_SECONDS * 1_000);
        List<String> broken = new ArrayList<>();
        checkNodes(Manifest.text(9, 4, 2, List.of(file, added)), broken);
        return broken;
    }

    private void upload() throws Exception {
        long endNanos = System.nanoTime() + LOAD_SECONDS * 1_000_000_000L;
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Node node : nodes) {
                for (int i = 0; i < CALLERS_PER_NODE; i++) {
                    String name = node.name + "-" + i;
                    callers.submit(() -> {
                        Random random = new Random(name.hashCode());
                        for (int turn = 0; System.nanoTime() < endNanos; turn++) {
                            String id = "file-" + name + "-" + turn;
                            byte[] body = new byte[trouble ? LARGE_BYTES >> 2 * random.nextInt(SIZES) : SMALL_BYTES];
                            Caller.Answer answer = Caller.sendSlowly(
                                    node.front, head("POST", "/file/x", id, 9_000, body.length), body, 9_500, Math.max(1, body.length / PIECES), PIECE_PAUSE_MS);
                            record.line("caller %s: %d after %d ms %s", id, answer.status(), answer.ms(), answer.failure());
                            Thread.sleep(trouble ? 0 : 1_500);
                        }
                        return null;
                    });
                }
            }
        }
    }
}
