package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three nodes and six model runners; requests whose prompts have ten parts come, some of them with a part that crashes
 * each runner that begins to write an answer on it. Checks that such requests are kept from runners after the fifth
 * crash, and that sound ones with the same first part still begin.
 */
final class FatalPart {
    private static final int NODES = 3;
    private static final int RUNNERS = 6;
    private static final int PARTS = 10;
    private static final int STABLE_WINDOW_MS = 3_000;
    private static final int BACK_AFTER_MS = 3_000;
    private static final int FATAL_INTERVAL_MS = 500;
    private static final int CALM_MS = 10_000;
    private static final int TROUBLE_MS = 45_000;
    private static final String FATAL = "deadbeef";

    private final Store store = new Store();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final List<Long> crashes = new ArrayList<>();
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger count = new AtomicInteger();
    /** Place of the part that crashes runners, from 1. */
    private final int place = Integer.parseInt(System.getenv().getOrDefault("PLACE", "9"));

    private final AtomicInteger calmSent = new AtomicInteger();
    private final AtomicInteger calmBegun = new AtomicInteger();
    private final AtomicInteger lateSent = new AtomicInteger();
    private final AtomicInteger lateBegun = new AtomicInteger();
    private final List<String> fatalIds = new ArrayList<>();

    public static void main(String[] words) throws Exception {
        Record.open(Path.of(words[0], "record.txt"));
        FatalPart played = new FatalPart();
        int code = 2;
        try {
            code = played.play(Path.of(words[1]), !words[2].equals("0"));
        } finally {
            played.over.set(true);
            played.nodes.forEach(Node::kill);
        }
        System.exit(code);
    }

    private int play(Path folder, boolean trouble) throws Exception {
        store.write("op/config", Refused.CONFIGURATION);
        for (int i = 1; i <= RUNNERS; i++) {
            Runner runner = new Runner("i-" + i, "scribe", "m1", 6_000, 40);
            runner.fatalPart = FATAL;
            runner.onEnd = () -> ended(runner);
            runners.add(runner);
            store.write("servers/" + runner.id, runner.entry());
        }
        for (int i = 1; i <= NODES; i++) {
            Node node = new Node(folder, "front-" + i, store.listen(), Refused.BOUNDS);
            nodes.add(node);
            node.start();
        }
        if (!Clock.await(30_000, () -> nodes.stream().allMatch(Node::ready))) {
            Record.tell("the nodes do not become ready");
            return 2;
        }
        Clock.sleep(2_000);
        for (int i = 0; i < 8; i++) {
            Thread.ofVirtual().start(this::askSound);
        }
        Clock.sleep(CALM_MS);
        if (calmBegun.get() < 20) {
            Record.tell("the nodes serve nothing");
            return 2;
        }
        Record.tell(calmBegun + " of " + calmSent + " sound requests began in calm");
        long endMs = Clock.ms() + TROUBLE_MS;
        while (Clock.ms() < endMs) {
            if (trouble) {
                Thread.ofVirtual().start(this::askFatal);
            }
            Clock.sleep(FATAL_INTERVAL_MS);
        }
        over.set(true);
        Clock.sleep(1_000);
        return judge();
    }

    private void ended(Runner runner) {
        synchronized (crashes) {
            crashes.add(Clock.ms());
            Record.write("runner " + runner.id + " crashes, crash " + crashes.size());
        }
        Thread.ofVirtual().start(() -> {
            Clock.sleep(BACK_AFTER_MS);
            try {
                runner.startAgain();
                store.write("servers/" + runner.id, runner.entry());
                Record.write("runner " + runner.id + " is back");
            } catch (IOException e) {
                Record.write("runner " + runner.id + " does not come back: " + e.getMessage());
            }
        });
    }

    /** Returns when the fifth crash was, negative if there were fewer. */
    private long fifthMs() {
        synchronized (crashes) {
            return crashes.size() < 5 ? -1 : crashes.get(4);
        }
    }

    private String prompt(boolean fatal, String last) {
        StringBuilder prompt = new StringBuilder();
        for (int part = 1; part < PARTS; part++) {
            prompt.append(fatal && part == place ? FATAL : "5c1e07a" + part).append(":20,");
        }
        return "X-Model: m1\r\nX-Token-Count: 400,47\r\nX-Prompt-Prefix: " + prompt + last + ":220\r\n";
    }

    private void askSound() {
        while (!over.get()) {
            String last = "%x".formatted(0x2000 + count.incrementAndGet());
            Node node = nodes.get(ThreadLocalRandom.current().nextInt(NODES));
            long sentMs = Clock.ms();
            boolean calm;
            synchronized (crashes) {
                calm = crashes.isEmpty();
            }
            boolean late = fifthMs() >= 0 && sentMs > fifthMs() + 2 * STABLE_WINDOW_MS;
            int status = Client.send(node.port, "POST", "/tag/1", prompt(false, last), 4_000);
            (calm ? calmSent : late ? lateSent : count).addAndGet(calm || late ? 1 : 0);
            if (status == 200) {
                (calm ? calmBegun : late ? lateBegun : count).addAndGet(calm || late ? 1 : 0);
            } else {
                Record.write("sound request at " + node.name + ": " + status);
            }
            Clock.sleep(150);
        }
    }

    private void askFatal() {
        String last = "%x".formatted(0x2000 + count.incrementAndGet());
        Node node = nodes.get(ThreadLocalRandom.current().nextInt(NODES));
        int status = Client.send(node.port, "POST", "/tag/1", prompt(true, last), 4_000);
        Record.write("request with the part at " + node.name + ": " + status);
    }

    private int judge() {
        long fifthMs = fifthMs();
        long arrivals = runners.stream().flatMap(runner -> runner.fatalArrivals().stream())
                .filter(ms -> fifthMs >= 0 && ms > fifthMs + STABLE_WINDOW_MS)
                .count();
        Record.tell(crashes.size() + " crashes of runners" + (fifthMs < 0 ? "" : ", the fifth at " + fifthMs + " ms"));
        Record.tell(arrivals + " requests with the part reached runners later than " + STABLE_WINDOW_MS
                + " ms after the fifth crash; 3 are allowed");
        Record.tell(lateBegun + " of " + lateSent + " sound requests began later than " + 2 * STABLE_WINDOW_MS
                + " ms after it; in calm " + calmBegun + " of " + calmSent);
        boolean budget = arrivals > 3;
        boolean lost = lateSent.get() >= 20
                && 2.0 * lateBegun.get() / lateSent.get() < 1.0 * calmBegun.get() / calmSent.get();
        Record.tell((budget ? "BUDGET is broken" : "BUDGET holds") + ", " + (lost ? "LOST is broken" : "LOST holds"));
        return budget || lost ? 1 : 0;
    }
}
