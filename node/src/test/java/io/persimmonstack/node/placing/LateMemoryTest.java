package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pattern: 81 nodes, which learn of each other's requests up to 250 ms late, fill one runner. The tokens of its
 * requests must never exceed its cache, since it would end.
 */
class LateMemoryTest {
    private static final int NODES = 81;
    private static final int SLOTS = 24;
    private static final long CACHE_TOKENS = 79_424;
    private static final int MAX_TOKENS = 7_000;
    private static final int SECONDS = 30;
    private static final int IDLE_REPORT_MS = 250;
    private static final int QUEUED_REPORT_MS = 50;
    private static final int MEAN_DURATION_MS = 2_000;
    /** Time in which the load rises. */
    private static final int RAMP_MS = 5_000;

    private static final int PATIENCE_MS = 1_000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    private static final Service SERVICE =
            new Service("s", "/health", 10, Optional.of(new Engine(SLOTS, CACHE_TOKENS, 100, 0, 3, Map.of())));

    private record Waiting(long arrivedMs, long tokens) {}

    private record Running(long endMs, int node, long tokens) {}

    private final ArrivalRates[] rates = new ArrivalRates[NODES];
    private final List<RunnerLoadTracker> trackers = new ArrayList<>();
    private final List<Deque<Waiting>> waiting = new ArrayList<>();
    private final int[] requestsByNode = new int[NODES];
    private final long[] tokensByNode = new long[NODES];
    private final long[] reportedMs = new long[NODES];
    private final int[] reportedRequests = new int[NODES];
    private final long[] reportedTokens = new long[NODES];
    private final PriorityQueue<Running> running =
            new PriorityQueue<>((one, other) -> Long.compare(one.endMs(), other.endMs()));
    private long tokens;
    private long maxTokens;
    private double tokenMs;
    private int arrived;
    private int served;

    private static RunnerLoadTracker tracker() {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new RunnerLoadTracker(
                new Runner("r", 1, "v1", "s", address, "z", SLOTS, false, List.of(), Set.of(), Set.of()));
    }

    private static RunnerSelector.Requirements requirements(long expectedTokens) {
        return new RunnerSelector.Requirements(Optional.empty(), expectedTokens, RunnerFilter.any(), Optional.empty());
    }

    /** A node reports its requests and learns those that the others have reported. */
    private void report(int node, long nowMs) {
        reportedRequests[node] = requestsByNode[node];
        reportedTokens[node] =
                tokensByNode[node] + trackers.get(node).memoryClaim().report(nowMs * NANOS_PER_MS);
        int requests = 0;
        long ofOthers = 0;
        for (int other = 0; other < NODES; other++) {
            requests += other == node ? 0 : reportedRequests[other];
            ofOthers += other == node ? 0 : reportedTokens[other];
        }
        trackers.get(node).applySnapshot(new RunnerSnapshot("r", 1, Optional.empty(), requests, ofOthers));
        trackers.get(node).memoryClaim().answered();
        trackers.get(node).elsewhere().observe(nowMs * NANOS_PER_MS);
    }

    private void place(int node, Random random, long nowMs) {
        Deque<Waiting> queue = waiting.get(node);
        queue.removeIf(request -> nowMs - request.arrivedMs() > PATIENCE_MS);
        if (queue.isEmpty() || running.size() >= SLOTS) {
            return;
        }
        long expected = queue.peek().tokens();
        double perSecond = rates[node].perSecond("s", nowMs * NANOS_PER_MS);
        RunnerSelector selector =
                RunnerSelector.of(SERVICE, ZoneCost.preferring("z"), NODES, perSecond, random, nowMs * NANOS_PER_MS);
        if (selector.choose(List.of(trackers.get(node)), requirements(expected)).isEmpty()) {
            return;
        }
        queue.remove();
        served++;
        change(node, expected, 1);
        long durationMs = Math.round(MEAN_DURATION_MS * (0.5 + random.nextDouble()));
        running.add(new Running(nowMs + durationMs, node, expected));
    }

    private void change(int node, long ofRequest, int sign) {
        if (sign > 0) {
            trackers.get(node).requestStarted(NO_MODEL, ofRequest);
        } else {
            trackers.get(node).requestEnded(NO_MODEL, ofRequest);
        }
        requestsByNode[node] += sign;
        tokensByNode[node] += sign * ofRequest;
        tokens += sign * ofRequest;
        maxTokens = Math.max(maxTokens, tokens);
    }

    private void play(double load, long seed) {
        Random random = new Random(seed);
        for (int node = 0; node < NODES; node++) {
            trackers.add(tracker());
            waiting.add(new ArrayDeque<>());
            rates[node] = new ArrivalRates();
            reportedMs[node] = -random.nextInt(IDLE_REPORT_MS);
        }
        double perMs = load * CACHE_TOKENS / (MAX_TOKENS * 0.625) / MEAN_DURATION_MS;
        for (long nowMs = 0; nowMs < SECONDS * 1_000L; nowMs++) {
            while (!running.isEmpty() && running.peek().endMs() <= nowMs) {
                Running ended = running.poll();
                change(ended.node(), ended.tokens(), -1);
            }
            if (random.nextDouble() < perMs * Math.min(1, (double) nowMs / RAMP_MS)) {
                arrived++;
                long ofRequest = MAX_TOKENS / 4 + random.nextInt(MAX_TOKENS * 3 / 4);
                int node = random.nextInt(NODES);
                rates[node].count("s", nowMs * NANOS_PER_MS);
                waiting.get(node).add(new Waiting(nowMs, ofRequest));
            }
            for (int node = 0; node < NODES; node++) {
                long intervalMs = waiting.get(node).isEmpty() ? IDLE_REPORT_MS : QUEUED_REPORT_MS;
                if (nowMs - reportedMs[node] >= intervalMs) {
                    reportedMs[node] = nowMs;
                    report(node, nowMs);
                }
                place(node, random, nowMs);
            }
            tokenMs += tokens;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0.25, 1", "0.25, 2", "0.25, 3", "0.5, 1", "0.5, 2", "1, 1", "1, 2", "1, 3", "1.5, 1", "1.5, 2", "1.5, 3",
        "1.5, 4", "1.5, 5", "1.5, 6", "4, 1", "4, 2", "4, 3", "4, 4", "4, 5", "4, 6"
    })
    void runnerNeverHoldsMoreThanItsCache(double load, long seed) {
        play(load, seed);
        String figures = "load %.1f: most %d of %d tokens, mean %.0f, served %d of %d"
                .formatted(load, maxTokens, CACHE_TOKENS, tokenMs / SECONDS / 1_000, served, arrived);
        assertTrue(maxTokens <= CACHE_TOKENS, figures);
        double servedShare = (double) served / arrived;
        assertTrue(load > 0.25 || servedShare > 0.99, figures);
        assertTrue(load < 1.5 || tokenMs / SECONDS / 1_000 > 0.5 * CACHE_TOKENS, figures);
    }

    /** In a calm fleet, the room that is left for unknown requests must not keep a large request away. */
    @Test
    void calmFleetUsesTheWholeCache() {
        RunnerLoadTracker tracker = tracker();
        RunnerSelector selector = RunnerSelector.of(SERVICE, "z", NODES, new Random(1), 0);
        assertTrue(selector.choose(List.of(tracker), requirements(CACHE_TOKENS)).isPresent());
        assertEquals(Optional.empty(), selector.choose(List.of(tracker), requirements(CACHE_TOKENS + 1)));
    }
}
