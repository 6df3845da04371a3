package io.persimmonstack.router;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.router.BenchRouter.Usage;
import io.persimmonstack.wire.PeerAddress;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Latency that a router adds to whole and streamed answers against a direct connection in the same run, and what it
 * spends on each. Target, router and callers are three processes; direct and routed rounds alternate.
 */
public final class RouterBenchmark {
    private static final int ROUNDS = 3;
    private static final int ANSWER_MS = 100;
    private static final int MAX_BYTES = 1 << 20;
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 60_000, 60_000);
    private static final String CONTENT = "\"content\":\"";

    private final HttpConnector connector;
    private final PeerAddress direct;
    private final PeerAddress routed;
    private final PeerAddress usagePage;

    private RouterBenchmark(HttpConnector connector, PeerAddress direct, PeerAddress routed, PeerAddress usagePage) {
        this.connector = connector;
        this.direct = direct;
        this.routed = routed;
        this.usagePage = usagePage;
    }

    /** Case of a measurement: kind of answers, how many at once, how many in all, how long the target takes for one. */
    private record Load(String name, boolean stream, int concurrent, int requests, int answerMs) {
        /** Returns when a caller begins, so that the answers are spread evenly over time. */
        long offsetMs(int caller) {
            long durationMs = stream ? BenchTarget.STREAM_MS : answerMs;
            return durationMs * caller / concurrent;
        }
    }

    /** What came of one round. */
    private record Round(long[] sortedNanos, double seconds) {}

    /**
     * Plays one of the three parts.
     *
     * @param arguments part, and the folder through which the parts tell their addresses
     */
    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[1]);
        switch (arguments[0]) {
            case "target" -> serve(folder.resolve("target"), BenchTarget.start().address());
            case "router" ->
                serve(
                        folder.resolve("router"),
                        BenchRouter.start(await(folder.resolve("target"))).addresses());
            default -> measure(folder, Arrays.copyOfRange(arguments, 2, arguments.length));
        }
    }

    private static void serve(Path file, String addresses) throws Exception {
        Path written = Files.writeString(file.resolveSibling(file.getFileName() + ".new"), addresses);
        Files.move(written, file);
        Thread.currentThread().join();
    }

    private static String await(Path file) throws Exception {
        while (!Files.exists(file)) {
            Thread.sleep(50);
        }
        return Files.readString(file);
    }

    private static void measure(Path folder, String... wanted) throws Exception {
        PeerAddress target = PeerAddress.parse(await(folder.resolve("target")));
        String[] router = await(folder.resolve("router")).split(" ");
        HttpConnectorOptions options =
                new HttpConnectorOptions(2, 2_000, 60_000, 64 << 10, new MetricRegistry(), java.util.Optional.empty());
        try (HttpConnector connector = HttpConnector.create(options)) {
            RouterBenchmark benchmark =
                    new RouterBenchmark(connector, target, PeerAddress.parse(router[0]), PeerAddress.parse(router[1]));
            benchmark.run(new Load("warm-up", false, 50, 40_000, 0));
            benchmark.run(new Load("warm-up", true, 200, 1_000, 0));
            for (Load load : loads()) {
                if (wanted.length == 0 || Arrays.asList(wanted).contains(load.name())) {
                    benchmark.compare(load);
                }
            }
        }
    }

    private static List<Load> loads() {
        return List.of(
                new Load("whole-1", false, 1, 50, ANSWER_MS),
                new Load("whole-100", false, 100, 5_000, ANSWER_MS),
                new Load("whole-1000", false, 1_000, 20_000, ANSWER_MS),
                new Load("stream-1", true, 1, 5, 0),
                new Load("stream-100", true, 100, 500, 0),
                new Load("stream-1000", true, 1_000, 4_000, 0),
                new Load("saturated-64", false, 64, 100_000, 0));
    }

    private void run(Load load) throws Exception {
        round(direct, load);
        round(routed, load);
    }

    private void compare(Load load) throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            Round plain = round(direct, load);
            Usage before = Usage.read(connector, usagePage);
            Round through = round(routed, load);
            Usage used = Usage.read(connector, usagePage).minus(before);
            int count = through.sortedNanos().length;
            System.out.printf(
                    "%s direct p50=%.3f p99=%.3f routed p50=%.3f p99=%.3f added p50=%.3f p99=%.3f ms;"
                            + " samples=%d per-second=%.0f processor-us=%.1f per-core-second=%.0f allocated-bytes=%d%n",
                    load.name(),
                    ms(plain, 0.5),
                    ms(plain, 0.99),
                    ms(through, 0.5),
                    ms(through, 0.99),
                    ms(through, 0.5) - ms(plain, 0.5),
                    ms(through, 0.99) - ms(plain, 0.99),
                    count,
                    count / through.seconds(),
                    used.processorNanos() / 1e3 / count,
                    1e9 * count / used.processorNanos(),
                    used.allocatedBytes() / count);
        }
    }

    private static double ms(Round round, double share) {
        long[] sorted = round.sortedNanos();
        return sorted[(int) Math.min(sorted.length - 1, sorted.length * share)] / 1e6;
    }

    /** Returns latencies: of whole answers, or of each token from the target's write to the caller's read. */
    private Round round(PeerAddress address, Load load) throws Exception {
        long[] samples = new long[load.stream() ? load.requests() * BenchTarget.TOKENS : load.requests()];
        AtomicInteger filled = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(load.concurrent());
        long begun = System.nanoTime();
        for (int i = 0; i < load.concurrent(); i++) {
            long offsetMs = load.offsetMs(i);
            Thread.ofVirtual().start(() -> {
                pause(offsetMs);
                while (next.getAndIncrement() < load.requests()) {
                    call(address, load, samples, filled);
                }
                done.countDown();
            });
        }
        done.await();
        double seconds = (System.nanoTime() - begun) / 1e9;
        if (filled.get() < samples.length) {
            System.out.printf(
                    "%s: %d of %d answers missing%n", load.name(), samples.length - filled.get(), samples.length);
        }
        long[] sorted = Arrays.copyOf(samples, filled.get());
        Arrays.sort(sorted);
        return new Round(sorted, seconds);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(PeerAddress address, Load load, long[] samples, AtomicInteger filled) {
        String body = "{\"model\":\"deed\",\"stream\":" + load.stream() + ",\"max_tokens\":" + load.answerMs()
                + ",\"messages\":[{\"content\":\"why?\"}]}";
        HttpRequest request = new HttpRequest(
                "POST",
                "/v1/chat/completions",
                List.of(
                        HttpHeader.of("Authorization", "Bearer " + Fleet.KEY),
                        HttpHeader.of("Content-Type", "application/json")),
                body.getBytes(StandardCharsets.UTF_8));
        long begun = System.nanoTime();
        try (HttpCall call = connector.open(address, request, TIMEOUTS)) {
            if (call.status() != 200) {
                System.out.println("answered " + call.status());
            } else if (load.stream()) {
                readTokens(call, samples, filled);
            } else {
                call.readAll(MAX_BYTES);
                samples[filled.getAndIncrement()] = System.nanoTime() - begun;
            }
        } catch (Exception e) {
            System.out.println("failed: " + e);
        }
    }

    private static void readTokens(HttpCall call, long[] samples, AtomicInteger filled) throws Exception {
        BufferedReader lines = new BufferedReader(new InputStreamReader(call.body(), StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            int at = line.indexOf(CONTENT);
            if (at >= 0) {
                int begin = at + CONTENT.length();
                long written = Long.parseLong(line.substring(begin, line.indexOf('"', begin)));
                samples[filled.getAndIncrement()] = System.nanoTime() - written;
            }
        }
    }
}
