import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners of two software versions serve side by side. One runner crashes; its requesters take their streams up again,
 * while other runners of the version that began them serve.
 */
final class ResumedStreams extends Scenario {
    private static final int STREAMS = 90;
    private static final int NEW_STREAMS = 30;
    private static final int LIMIT_MS = 12_000;
    private static final Runner.Kind KIND = new Runner.Kind("models", 32, 0, 60, 100, 2, 6_000);
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger wentOn = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new ResumedStreams(), arguments);
    }

    @Override
    List<String> play() throws Exception {
        store.write("op/config", Manifest.text(3, 3, 2).replace("\"load_time_s\":0.5", "\"load_time_s\":6.0")
                .replace("\"disk_s\":0.2", "\"disk_s\":0.35"));
        Runner crashing = add("a", "v1", "m0");
        add("b", "v1", "m1");
        add("c", "v1", "m2");
        add("d", "v2", "m0");
        add("e", "v2", "m0");
        add("f", "v2", "m0");
        add("g", "v2", "m1");
        startNodes(3);
        Thread.sleep(8_000);
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < STREAMS; i++) {
                int number = i;
                callers.submit(() -> follow(number));
                Thread.sleep(10);
            }
            Thread.sleep(1_000);
            if (trouble) {
                record.line("runner %s crashes", crashing.id);
                crashing.crash();
            }
            Thread.sleep(300);
            for (int i = 0; i < NEW_STREAMS; i++) {
                int number = i;
                callers.submit(() -> {
                    Caller.Answer answer = chat(nodes.get(number % 3), "new-" + number, "m0", LIMIT_MS);
                    if (!answer.events().isEmpty()) {
                        begun.incrementAndGet();
                    }
                    return null;
                });
                Thread.sleep(60);
            }
        }
        record.line("%d of %d resumed streams went on, %d of %d new ones began", wentOn.get(), resumed.get(), begun.get(),
                NEW_STREAMS);
        if (trouble && resumed.get() < 12) {
            throw new NotRun("only " + resumed.get() + " streams were resumed");
        }
        double shareOfNew = begun.get() / (double) NEW_STREAMS;
        List<String> broken = new ArrayList<>();
        if (resumed.get() >= 12 && wentOn.get() / (double) resumed.get() < shareOfNew / 2) {
            broken.add("LOST: of " + resumed.get() + " streams that requesters took up again " + wentOn.get()
                    + " went on, of " + NEW_STREAMS + " new ones " + begun.get() + " began");
        }
        return broken;
    }

    private Runner add(String name, String version, String model) throws IOException {
        return addRunner(new Runner("llm-" + name, version, KIND, record, List.of(model)));
    }

    /** Follows a stream, and takes it up again once if it is cut. */
    private Void follow(int number) throws Exception {
        String id = "first-" + number;
        Caller.Answer first = chat(nodes.get(number % 3), id, "m0", LIMIT_MS);
        if (first.events().isEmpty() || first.whole()) {
            return null;
        }
        resumed.incrementAndGet();
        int left = (int) (LIMIT_MS - first.ms());
        Caller.Answer second = chat(nodes.get((number + 1) % 3), "again-" + number, "m0", left,
                "Resumes: " + id, "Last-Event-Id: " + first.events().size());
        if (!second.events().isEmpty()) {
            wentOn.incrementAndGet();
        }
        return null;
    }
}
