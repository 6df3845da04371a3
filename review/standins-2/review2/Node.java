package review2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A node as a process of its own, started with the command of the deploy file. */
final class Node {
    private static final int PORTS = 12;
    final String name;
    final int port;
    final int storePort;
    private final Path settings;
    private final File log;
    private Process process;

    Node(Path folder, String name, int storePort, String bounds) throws IOException {
        this.name = name;
        this.storePort = storePort;
        this.port = freePorts();
        // Ends the process also if the script is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log").toFile();
        Files.writeString(settings, """
                {"node_name":"%s","role":"node","machine_class":"front","serves":["front","directory"],
                 "ip":"127.0.0.1","zone":"z-a","region":"r","zones":{"z-a":"r"},
                 "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d","directory":"127.0.0.1:%d"},
                 "internal_ports":[%d,%d],"seeds":[],"bootstrap":true,"fault_counted":false,
                 "limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"max_fds":4200,"link_mbps":1000.0,"disk_mb":0},
                 "data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
                 "bounds":%s,
                 "platform":{"address":"127.0.0.1:%d","form":"kv","writes_per_s":400,"reads_per_s":2000,
                  "history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}
                """.formatted(name, port, port + 1, port + 2, port + 3, port + 11, bounds, storePort));
    }

    /** Returns the first of several free ports below those that the system hands out. */
    private static int freePorts() {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(10_000, 30_000);
            boolean free = true;
            for (int port = first; port < first + PORTS && free; port++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress("127.0.0.1", port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
    }

    /** Returns the command of the deploy file, with the java of this process if that of the file is not there. */
    private static List<String> command() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words = new ArrayList<>(
                Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        if (!Files.isExecutable(Path.of(words.getFirst()))) {
            words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        }
        return words;
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("PERSIMMONSTACK_BOOT", settings.toString());
        process = builder.start();
        Record.write("process of " + name + " started");
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    boolean ready() {
        return status(port + 1, "/readiness") == 200;
    }

    static int status(int port, String path) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode();
        } catch (IOException e) {
            return -1;
        }
    }

    void signal(String signal) throws IOException {
        Record.write(signal + " to " + name);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the resident memory of the process, in MB. */
    long residentMb() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    boolean ended(long limitMs) {
        try {
            return process.waitFor(limitMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            ended(5_000);
        }
    }

    String log() throws IOException {
        return Files.readString(log.toPath());
    }
}
