package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One node; clients outside its control send bodies of legal size, one after the other, for a model that is being loaded and
 * cannot be there in their time. Each is refused at once. Checks that the process goes on and that ordinary clients on
 * kept channels lose no answer.
 */
final class Refused {
    private static final int BODY_BYTES = 4_000_000;
    private static final int CLIENTS = 1;
    private static final int REQUESTS_EACH = 24;
    private static final int LIMIT_MS = 4_000;
    static final String BOUNDS = """
            {"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
             "grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"outer_bound_ms":5000,
             "retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":52,"recovery_s":12,"pass_ms":120,
             "retry_after_s":0,"fencing_enforced":true,"lease_ms":3000,"thaw_ms":300,"ceiling_window_s":5,
             "ceiling_overshoot":1.1,"ttl_max_s":5}""";
    static final String CONFIGURATION = """
            {"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "routes":[{"name":"pay","host":"h.example","prefix":"/pay/","kind":"unsafe","timeout_ms":3000,
              "target_latency_ms":121,"priority":2,"service":"desk","max_attempts":1},
              {"name":"tag","host":"h.example","prefix":"/tag/","kind":"stream","timeout_ms":4000,
              "target_latency_ms":1500,"priority":0,"service":"scribe","max_attempts":2,"sticky":true,
              "resumable":true,"gap_target_ms":200},
              {"name":"brief","host":"h.example","prefix":"/brief/","kind":"stream","timeout_ms":25000,
              "target_latency_ms":3000,"priority":1,"service":"scribe","max_attempts":1,"sticky":true,
              "resumable":false,"gap_target_ms":200}],
             "services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false},
              {"name":"scribe","health_path":"/health","max_connections":290,"protocol":"h1","tls":false,
              "engine":{"slots":48,"kv_capacity":112429,"weights_mb":200000,"adapter_slots":8,"load_rate_s":2.9,
               "models":[{"name":"m1","weights_mb":34300.0,"load_time_s":6.0,"adapters":16,"adapter_mb":40.0,
                "warm_s":0.39,"disk_s":0.52},{"name":"m2","weights_mb":34300.0,"load_time_s":6.0,"adapters":0,
                "adapter_mb":40.0,"warm_s":0.39,"disk_s":0.52}]}}]}""";

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();

    public static void main(String[] words) throws Exception {
        Record.open(Path.of(words[0], "record.txt"));
        System.exit(new Refused().play(Path.of(words[1]), !words[2].equals("0")));
    }

    private int play(Path folder, boolean trouble) throws Exception {
        Store store = new Store();
        Runner desk = new Runner("i-1", "desk", "", 0, 400);
        Runner scribe = new Runner("i-2", "scribe", "m1", 6_000, 20);
        store.write("op/config", CONFIGURATION);
        store.write("servers/" + desk.id, desk.entry());
        store.write("servers/" + scribe.id, scribe.entry());
        Node node = new Node(folder, "front-1", store.listen(), BOUNDS);
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
            Record.tell("resident memory " + node.residentMb() + " MB, " + kept.answered + " ordinary requests answered");
            // The first requests for the model make the leader have it loaded, which takes 6 s.
            int bytes = trouble ? BODY_BYTES : 1_400;
            send(node, 1_400);
            for (int i = 0; i < CLIENTS; i++) {
                Thread.ofVirtual().start(() -> {
                    for (int count = 0; count < REQUESTS_EACH && node.alive(); count++) {
                        int status = send(node, bytes);
                        Record.write("request for m2 with a body of " + bytes + " bytes: " + status);
                        sent.incrementAndGet();
                        refused.addAndGet(status == 503 ? 1 : 0);
                    }
                });
            }
            Clock.await(12_000, () -> !node.alive() || sent.get() == CLIENTS * REQUESTS_EACH);
            Clock.await(6_000, () -> !node.alive());
            return judge(node, kept);
        } finally {
            node.kill();
        }
    }

    private int judge(Node node, KeptChannels kept) throws IOException {
        Record.tell(sent + " requests for m2 sent, " + refused + " refused with 503");
        if (!node.alive()) {
            Clock.sleep(500);
            Record.tell("the process has ended by itself with code " + node.exitCode());
            node.log().lines().filter(line -> line.contains("OutOfMemory")).limit(3).forEach(Record::tell);
        }
        kept.stop();
        Record.tell(kept.answered + " ordinary requests answered; " + kept.lost
                + " that the runner ran on kept channels ended without an answer, " + kept.late + " had none in time");
        boolean broken = !node.alive() || kept.lost.get() > 3;
        Record.tell(broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    private static int send(Node node, int bytes) {
        String request = "%016x".formatted(System.nanoTime());
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", node.port), 1_000);
            socket.setSoTimeout(LIMIT_MS + 1_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /tag/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + request + "\r\nX-Deadline-Ms: "
                    + LIMIT_MS + "\r\nX-Model: m2\r\nX-Token-Count: 383,48\r\nX-Prompt-Prefix: 5c1e07a2:92,"
                    + request + ":291\r\nContent-Length: " + bytes + "\r\nConnection: close\r\n\r\n").getBytes());
            out.write(new byte[bytes]);
            out.flush();
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes());
            return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : -1;
        } catch (IOException e) {
            Record.write("request for m2: " + e.getMessage());
            return -1;
        }
    }
}
