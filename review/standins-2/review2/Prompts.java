package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One node; clients outside its control send requests inside the limits whose heads describe prompts of many parts, or
 * parts with long identifiers. Checks that the process neither ends nor hangs and that ordinary clients on kept channels
 * lose no answer.
 */
final class Prompts {
    /** Size of the prompt's description; with the other headers it is inside max_header_bytes, 16,384. */
    private static final int PREFIX_BYTES = 15_400;

    private static final int MANY_CLIENTS = 400;
    private static final int LONG_CLIENTS = 8;
    private static final int PRESS_MS = 60_000;

    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger count = new AtomicInteger();
    private final boolean many;

    private Prompts(boolean many) {
        this.many = many;
    }

    public static void main(String[] words) throws Exception {
        Record.open(Path.of(words[0], "record.txt"));
        System.exit(new Prompts(words[3].equals("many")).play(Path.of(words[1]), !words[2].equals("0")));
    }

    private int play(Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        Runner desk = new Runner("i-1", "desk", "", 0, 400);
        Runner scribe = new Runner("i-2", "scribe", "m1", 6_000, 10);
        store.write("op/config", Refused.CONFIGURATION);
        store.write("servers/" + desk.id, desk.entry());
        store.write("servers/" + scribe.id, scribe.entry());
        Node node = new Node(folder, "front-1", store.listen(), Refused.BOUNDS);
        try {
            node.start();
            if (!Clock.await(30_000, node::ready)) {
                Record.tell("the node does not become ready");
                return 2;
            }
            KeptChannels kept = KeptChannels.open(node, desk, 8);
            Clock.sleep(3_000);
            if (kept.answered.get() < 8) {
                Record.tell("the node serves nothing");
                return 2;
            }
            int clients = many ? MANY_CLIENTS : LONG_CLIENTS;
            Record.tell("resident memory " + node.residentMb() + " MB; " + clients + " clients begin"
                    + (trouble ? "" : ", with short prompts"));
            for (int i = 0; i < clients; i++) {
                Thread.ofVirtual().start(() -> press(node, trouble));
            }
            long endMs = Clock.ms() + PRESS_MS;
            int before = 0;
            long progressMs = Clock.ms();
            while (node.alive() && Clock.ms() < endMs) {
                Clock.sleep(500);
                int now = answered.get() + kept.answered.get();
                progressMs = now > before ? Clock.ms() : progressMs;
                before = now;
                Record.write("resident memory " + node.residentMb() + " MB; " + sent + " requests with prompts sent, "
                        + answered + " answered; " + kept.answered + " ordinary ones answered, " + kept.late
                        + " not in time; last answer " + (Clock.ms() - progressMs) + " ms ago");
            }
            over.set(true);
            return judge(node, kept, Clock.ms() - progressMs);
        } finally {
            over.set(true);
            node.kill();
        }
    }

    private int judge(Node node, KeptChannels kept, long silentMs) throws IOException {
        Record.tell(sent + " requests with prompts sent, " + answered + " answered");
        boolean ended = !node.alive();
        if (ended) {
            Clock.sleep(500);
            Record.tell("the process has ended by itself with code " + node.exitCode() + "; it gave no answer for "
                    + silentMs + " ms before");
            node.log().lines().filter(line -> line.contains("OutOfMemory")).limit(3).forEach(Record::tell);
        }
        kept.stop();
        Record.tell(kept.answered + " ordinary requests answered; " + kept.lost
                + " that the runner ran on kept channels ended without an answer, " + kept.late + " had none in time");
        boolean config = kept.late.get() > kept.justLate.get();
        Record.tell("of " + (kept.late.get() + kept.justLate.get()) + " ordinary requests without an answer at their route's "
                + "timeout, " + kept.late + " had none half a second later" + (config ? ": CONFIG is broken" : ""));
        boolean broken = ended || config || silentMs > 10_000 || kept.lost.get() > 3;
        Record.tell(broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    private void press(Node node, boolean trouble) {
        while (!over.get() && node.alive()) {
            sent.incrementAndGet();
            int status = Client.send(node.port, "POST", "/brief/1",
                    "X-Model: m1\r\nX-Token-Count: 3000,47\r\nX-Prompt-Prefix: " + prefix(trouble) + "\r\n", 25_000);
            if (status != -1) {
                answered.incrementAndGet();
            }
            Clock.sleep(many ? 20 : 2);
        }
    }

    private String prefix(boolean trouble) {
        int number = count.incrementAndGet();
        if (!trouble) {
            return "5c1e07a2:172,%x:543".formatted(number);
        }
        if (!many) {
            String id = "%x".formatted(0x10_0000 + number);
            return id.repeat(PREFIX_BYTES / id.length()) + ":2900,1:100";
        }
        StringBuilder prefix = new StringBuilder();
        for (int part = number; prefix.length() < PREFIX_BYTES; part++) {
            prefix.append(Integer.toHexString(part & 0xff)).append(":1,");
        }
        return prefix + "1:1";
    }
}
