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
 * Measures the latency that a router adds to whole and streamed answers, compared with a direct connection in the same
 * run, and its CPU time and allocation per answer. Target, router and callers run in three processes; direct and routed
 * rounds alternate.
 */
public final class RouterBenchmark {
    private static final int ROUNDS = 3;
    private static final int ANSWER_MS = 100;
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 60_000, 60_000);
    private static final String CONTENT_KEY = "\"content\":\"";

    private final HttpConnector connector;
    private final PeerAddress direct;
    private final PeerAddress routed;
    private final PeerAddress usageAddress;

    private RouterBenchmark(HttpConnector connector, PeerAddress direct, PeerAddress routed, PeerAddress usageAddress) {
        this.connector = connector;
        this.direct = direct;
        this.routed = routed;
        this.usageAddress = usageAddress;
    }

    /**
     * Case of the benchmark.
     *
     * @param name name of the case
     * @param stream whether answers are streamed
     * @param concurrent number of concurrent callers
     * @param requests number of requests per round
     * @param answerMs time that the target takes for a whole answer
     */
    private record Case(String name, boolean stream, int concurrent, int requests, int answerMs) {
        /** Returns the start delay of a caller, which spreads the answers evenly over time. */
        long offsetMs(int caller) {
            long durationMs = stream ? BenchTarget.STREAM_MS : answerMs;
            return durationMs * caller / concurrent;
        }
    }

    /** Latencies and duration of one round. */
    private record Round(long[] sortedNanos, double seconds) {}

    /**
     * Runs one of the three processes.
     *
     * @param arguments {@code target}, {@code router} or {@code callers}; the directory in which the processes publish
     *     their addresses; for the callers, the cases to run, all by default
     */
    public static void main(String[] arguments) throws Exception {
        Path directory = Path.of(arguments[1]);
        switch (arguments[0]) {
            case "target" ->
                publishAddresses(
                        directory.resolve("target"), BenchTarget.start().address());
            case "router" ->
                publishAddresses(
                        directory.resolve("router"),
                        BenchRouter.start(awaitFile(directory.resolve("target")))
                                .addresses());
            default -> measure(directory, Arrays.copyOfRange(arguments, 2, arguments.length));
        }
    }

    private static void publishAddresses(Path file, String addresses) throws Exception {
        Path temporaryFile = Files.writeString(file.resolveSibling(file.getFileName() + ".new"), addresses);
        Files.move(temporaryFile, file);
        Thread.currentThread().join();
    }

    private static String awaitFile(Path file) throws Exception {
        while (!Files.exists(file)) {
            Thread.sleep(50);
        }
        return Files.readString(file);
    }

    private static void measure(Path directory, String... selectedCases) throws Exception {
        PeerAddress target = PeerAddress.parse(awaitFile(directory.resolve("target")));
        String[] router = awaitFile(directory.resolve("router")).split(" ");
        HttpConnectorOptions options = new HttpConnectorOptions(
                2, 2_000, 60_000, 64 << 10, 64 << 20, new MetricRegistry(), java.util.Optional.empty());
        try (HttpConnector connector = HttpConnector.create(options)) {
            RouterBenchmark benchmark =
                    new RouterBenchmark(connector, target, PeerAddress.parse(router[0]), PeerAddress.parse(router[1]));
            benchmark.warmUp(new Case("warm-up", false, 50, 40_000, 0));
            benchmark.warmUp(new Case("warm-up", true, 200, 1_000, 0));
            for (Case benchmarkCase : cases()) {
                if (selectedCases.length == 0 || Arrays.asList(selectedCases).contains(benchmarkCase.name())) {
                    benchmark.compare(benchmarkCase);
                }
            }
        }
    }

    private static List<Case> cases() {
        return List.of(
                new Case("whole-1", false, 1, 50, ANSWER_MS),
                new Case("whole-100", false, 100, 5_000, ANSWER_MS),
                new Case("whole-1000", false, 1_000, 20_000, ANSWER_MS),
                new Case("stream-1", true, 1, 5, 0),
                new Case("stream-100", true, 100, 500, 0),
                new Case("stream-1000", true, 1_000, 4_000, 0),
                new Case("saturated-64", false, 64, 100_000, 0));
    }

    private void warmUp(Case benchmarkCase) throws Exception {
        runRound(direct, benchmarkCase);
        runRound(routed, benchmarkCase);
    }

    private void compare(Case benchmarkCase) throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            Round directRound = runRound(direct, benchmarkCase);
            Usage before = Usage.read(connector, usageAddress);
            Round routedRound = runRound(routed, benchmarkCase);
            Usage usage = Usage.read(connector, usageAddress).minus(before);
            int count = routedRound.sortedNanos().length;
            System.out.printf(
                    "%s direct p50=%.3f p99=%.3f routed p50=%.3f p99=%.3f added p50=%.3f p99=%.3f ms;"
                            + " samples=%d per-second=%.0f processor-us=%.1f per-core-second=%.0f allocated-bytes=%d%n",
                    benchmarkCase.name(),
                    percentileMs(directRound, 0.5),
                    percentileMs(directRound, 0.99),
                    percentileMs(routedRound, 0.5),
                    percentileMs(routedRound, 0.99),
                    percentileMs(routedRound, 0.5) - percentileMs(directRound, 0.5),
                    percentileMs(routedRound, 0.99) - percentileMs(directRound, 0.99),
                    count,
                    count / routedRound.seconds(),
                    usage.processorNanos() / 1e3 / count,
                    1e9 * count / usage.processorNanos(),
                    usage.allocatedBytes() / count);
        }
    }

    private static double percentileMs(Round round, double quantile) {
        long[] sorted = round.sortedNanos();
        return sorted[(int) Math.min(sorted.length - 1, sorted.length * quantile)] / 1e6;
    }

    /** Measures latencies: of whole answers, or of each token from the target's write to the caller's read. */
    private Round runRound(PeerAddress address, Case benchmarkCase) throws Exception {
        long[] samples = new long
                [benchmarkCase.stream() ? benchmarkCase.requests() * BenchTarget.TOKENS : benchmarkCase.requests()];
        AtomicInteger sampleCount = new AtomicInteger();
        AtomicInteger requestCounter = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(benchmarkCase.concurrent());
        long startNanos = System.nanoTime();
        for (int i = 0; i < benchmarkCase.concurrent(); i++) {
            long offsetMs = benchmarkCase.offsetMs(i);
            Thread.ofVirtual().start(() -> {
                pause(offsetMs);
                while (requestCounter.getAndIncrement() < benchmarkCase.requests()) {
                    sendRequest(address, benchmarkCase, samples, sampleCount);
                }
                done.countDown();
            });
        }
        done.await();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        if (sampleCount.get() < samples.length) {
            System.out.printf(
                    "%s: %d of %d answers missing%n",
                    benchmarkCase.name(), samples.length - sampleCount.get(), samples.length);
        }
        long[] sorted = Arrays.copyOf(samples, sampleCount.get());
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

    private void sendRequest(PeerAddress address, Case benchmarkCase, long[] samples, AtomicInteger sampleCount) {
        String body = "{\"model\":\"deed\",\"stream\":" + benchmarkCase.stream() + ",\"max_tokens\":"
                + benchmarkCase.answerMs() + ",\"messages\":[{\"content\":\"why?\"}]}";
        HttpRequest request = new HttpRequest(
                "POST",
                "/v1/chat/completions",
                List.of(
                        HttpHeader.of("Authorization", "Bearer " + FakeFleet.CALLER_KEY),
                        HttpHeader.of("Content-Type", "application/json")),
                body.getBytes(StandardCharsets.UTF_8));
        long startNanos = System.nanoTime();
        try (HttpCall call = connector.open(address, request, TIMEOUTS)) {
            if (call.status() != 200) {
                System.out.println("answered " + call.status());
            } else if (benchmarkCase.stream()) {
                readTokens(call, samples, sampleCount);
            } else {
                call.readAll(MAX_ANSWER_BYTES);
                samples[sampleCount.getAndIncrement()] = System.nanoTime() - startNanos;
            }
        } catch (Exception e) {
            System.out.println("failed: " + e);
        }
    }

    private static void readTokens(HttpCall call, long[] samples, AtomicInteger sampleCount) throws Exception {
        BufferedReader lines = new BufferedReader(new InputStreamReader(call.body(), StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            int keyIndex = line.indexOf(CONTENT_KEY);
            if (keyIndex >= 0) {
                int start = keyIndex + CONTENT_KEY.length();
                long writtenNanos = Long.parseLong(line.substring(start, line.indexOf('"', start)));
                samples[sampleCount.getAndIncrement()] = System.nanoTime() - writtenNanos;
            }
        }
    }
}
