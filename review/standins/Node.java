import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Node implements AutoCloseable {
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 32_000;

    final String name;
    final int front;
    final int ready;
    final int directory;
    final Path log;
    private final Path settings;
    private final Path repository;
    private Process process;

    private Node(String name, int[] ports, Path settings, Path log, Path repository) {
        this.name = name;
        this.front = ports[0];
        this.ready = ports[1];
        this.directory = ports[2];
        this.settings = settings;
        this.log = log;
        this.repository = repository;
    }

    /** Bounds of the settings, as those of the installations on the pages. */
    static Map<String, Object> bounds() {
        return Json.object(
                "seed_lag_s", 3, "addr_reuse_s", 2, "stable_window_ms", 3000, "ack_ms", 4000, "catch_up_s", 4,
                "drain_ms", 2000, "grace_s", 8, "loss_slack_ms", 200, "config_apply_ms", 2000,
                "rollback_slack_ms", 250, "outer_bound_ms", 5000, "retry_budget_ratio", 0.2, "budget_window_s", 10,
                "budget_slack", 52, "recovery_s", 12, "pass_ms", 120, "retry_after_s", 0, "fencing_enforced", true,
                "lease_ms", 3000, "thaw_ms", 300, "ceiling_window_s", 5, "ceiling_overshoot", 1.1, "ttl_max_s", 5);
    }

    static Node start(String name, int storePort, Path folder, Path repository) throws IOException {
        int[] ports = freePorts();
        Map<String, Object> boot = Json.object(
                "node_name", name,
                "role", "node",
                "machine_class", "front",
                "serves", List.of("front", "directory"),
                "ip", "127.0.0.1",
                "zone", "zone-a",
                "region", "region-a",
                "zones", Json.object("zone-a", "region-a"),
                "listen", Json.object(
                        "front", "127.0.0.1:" + ports[0],
                        "ready", "127.0.0.1:" + ports[1],
                        "directory", "127.0.0.1:" + ports[2]),
                "internal_ports", List.of(ports[3], ports[3] + 15),
                "seeds", List.of(),
                "bootstrap", true,
                "fault_counted", false,
                "limits", Json.object("cpu_share", 0.75, "cores", 1, "memory_mb", 430, "max_fds", 4200,
                        "link_mbps", 1000.0, "disk_mb", 0),
                "data_dir", null,
                "discovery", "platform",
                "entry", "directory",
                "heartbeat_ms", 1200,
                "contracts", List.of("base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                        "engine", "platform"),
                "fault_tolerance", Json.object("machines", 1, "zones", 0, "regions", 0),
                "bounds", bounds(),
                "platform", Json.object("address", "127.0.0.1:" + storePort, "form", "kv", "writes_per_s", 400,
                        "reads_per_s", 2000, "history_s", 20, "value_bytes", 1048576, "ttl_min_ms", 1000));
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(boot));
        Node node = new Node(name, ports, settings, folder.resolve(name + ".log"), repository);
        node.startProcess();
        return node;
    }

    /** Returns free ports; the last one's successor is free too. */
    private static int[] freePorts() throws IOException {
        int[] ports = new int[4];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ports[i] = freePorts(1, held);
        }
        ports[3] = freePorts(2, held);
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    /** Holds neighbouring free ports below those that outgoing channels take, and returns the first. */
    private static int freePorts(int count, List<ServerSocket> held) {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                for (int i = 0; i < count; i++) {
                    sockets.add(new ServerSocket(first + i, 1, InetAddress.getByName("127.0.0.1")));
                }
                held.addAll(sockets);
                return first;
            } catch (IOException e) {
                sockets.forEach(Node::closeQuietly);
            }
        }
    }

    private static void closeQuietly(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The port is not used.
        }
    }

    /** Reads the command from the deploy file; it has no shell features. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Arrays.asList(run.split(" "));
            }
        }
        throw new IOException("deploy/system.toml: no run");
    }

    void startProcess() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        builder.environment().put("PERSIMMONSTACK_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Returns whether the readiness endpoint answers 200 within a second. */
    boolean isReady() {
        try {
            return Caller.get(ready, "/readiness", 1_000) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(int seconds) throws InterruptedException {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(name + " is not ready after " + seconds + " s");
            }
            Thread.sleep(50);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
