package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two nodes; clients outside its control send requests inside the limits for models that do not exist to the node that
 * does not lead. Checks that no process ends or hangs and that ordinary clients on kept channels lose no answer.
 */
final class Names {
    /** Length of a model's name; with the other headers it is inside max_header_bytes, 16,384. */
    private static final int NAME_BYTES = 15_400;

    private static final int CLIENTS = 150;
    private static final int PRESS_MS = 75_000;

    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    public static void main(String[] words) throws Exception {
        Record.open(Path.of(words[0], "record.txt"));
        System.exit(new Names().play(Path.of(words[1]), !words[2].equals("0")));
    }

    private int play(Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        Runner desk = new Runner("i-1", "desk", "", 0, 400);
        Runner scribe = new Runner("i-2", "scribe", "m1", 6_000, 10);
        store.write("op/config", Refused.CONFIGURATION);
        store.write("servers/" + desk.id, desk.entry());
        store.write("servers/" + scribe.id, scribe.entry());
        Node leader = new Node(folder, "front-1", store.listen(), Refused.BOUNDS);
        Node other = new Node(folder, "front-2", store.listen(), Refused.BOUNDS);
        try {
            leader.start();
            if (!Clock.await(30_000, leader::ready) || !Clock.await(10_000, () -> store.keys().stream()
                    .anyMatch(key -> key.contains("leader")))) {
                Record.tell("the first node does not lead");
                return 2;
            }
            other.start();
            if (!Clock.await(30_000, other::ready)) {
                Record.tell("the second node does not become ready");
                return 2;
            }
            KeptChannels kept = KeptChannels.open(leader, desk, 8);
            Clock.sleep(3_000);
            Record.tell("resident memory " + leader.residentMb() + " MB at the leader and " + other.residentMb()
                    + " MB at the other node, to which " + CLIENTS + " clients turn");
            for (int i = 0; i < CLIENTS; i++) {
                Thread.ofVirtual().start(() -> press(other, trouble));
            }
            long endMs = Clock.ms() + PRESS_MS;
            while (leader.alive() && other.alive() && Clock.ms() < endMs) {
                Clock.sleep(500);
                Record.write("resident memory " + leader.residentMb() + " and " + other.residentMb() + " MB; " + sent
                        + " requests with names sent, " + answered + " answered; " + kept.answered
                        + " ordinary ones answered at the leader, " + kept.late + " not in time");
            }
            over.set(true);
            Record.tell(sent + " requests with names sent, " + answered + " answered");
            boolean ended = ended(leader, "the leader") | ended(other, "the other node");
            Clock.sleep(500);
            kept.stop();
            Record.tell(kept.answered + " ordinary requests answered; " + kept.lost
                    + " that the runner ran on kept channels ended without an answer, " + kept.late + " had none in time");
            boolean broken = ended || kept.lost.get() > 3;
            Record.tell(broken ? "broken" : "held");
            return broken ? 1 : 0;
        } finally {
            over.set(true);
            leader.kill();
            other.kill();
        }
    }

    private static boolean ended(Node node, String role) throws IOException {
        if (node.alive()) {
            return false;
        }
        Record.tell("the process of " + role + " has ended by itself with code " + node.exitCode());
        node.log().lines().filter(line -> line.contains("OutOfMemory")).limit(3).forEach(Record::tell);
        return true;
    }

    private void press(Node node, boolean trouble) {
        while (!over.get() && node.alive()) {
            String id = "%x".formatted(0x10_0000 + sent.incrementAndGet());
            String name = trouble ? id.repeat(NAME_BYTES / id.length()) : "m1";
            int status = Client.send(node.port, "POST", "/tag/1",
                    "X-Model: " + name + "\r\nX-Token-Count: 383,48\r\nX-Prompt-Prefix: 5c1e:92," + id + ":291\r\n", 1_000);
            if (status != -1) {
                answered.incrementAndGet();
            }
            Clock.sleep(20);
        }
    }
}
