package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.pace.FleetPaces;
import io.persimmonstack.node.pace.PaceKey;
import io.persimmonstack.node.pace.PaceKind;
import io.persimmonstack.node.pace.PaceRecorder;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Plays nodes in simulated time that send requests to runners of different speed, report the durations of the answers
 * to a leader four times a second and learn the requests of the other nodes and the paces in return. The first event of
 * an answer comes after a third of its time.
 */
final class PaceSimulation {
    static final int MEAN_DURATION_MS = 400;
    private static final int REPORT_INTERVAL_MS = 250;
    private static final int FIRST_EVENT_PART = 3;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final double SPREAD = 0.3;
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    private static final Service SERVICE = new Service("s", "/health", 10, Optional.empty());
    private static final RunnerSelector.Requirements REQUIREMENTS =
            new RunnerSelector.Requirements(Optional.empty(), 0, RunnerFilter.any(), Optional.empty());
    private static final PaceKey FIRST_EVENT = PaceKey.of("s", "r", PaceKind.FIRST_EVENT, 0);

    /** Time that a runner takes for a request that starts now, in units of the usual time. */
    interface Slowness {
        double of(int runner, long nowMs, Random random);
    }

    /** Request in progress or, with {@code first}, the beginning of its answer. */
    private record Due(long atMs, int node, int runner, Optional<PaceRecorder.Measurement> first, long arrivedMs) {}

    /** Start of a request at a runner. */
    record Start(long atMs, int runner) {}

    private final int slots;
    private final Slowness slowness;
    private final boolean usesPaces;
    private final Random random;
    private final FleetPaces fleet = FleetPaces.create();
    private final List<PaceRecorder> recorders = new ArrayList<>();
    private final List<List<RunnerLoadTracker>> trackers = new ArrayList<>();
    private final List<Deque<Long>> waiting = new ArrayList<>();
    private final int[][] requestsByNode;
    private final int[] requests;
    private final PriorityQueue<Due> due = new PriorityQueue<>((one, other) -> Long.compare(one.atMs(), other.atMs()));
    private final List<Long> timesMs = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private long paceSamples;
    private long unusualSamples;

    PaceSimulation(int nodes, int runners, int slots, Slowness slowness, boolean usesPaces, long seed) {
        this.slots = slots;
        this.slowness = slowness;
        this.usesPaces = usesPaces;
        this.random = new Random(seed);
        this.requestsByNode = new int[nodes][runners];
        this.requests = new int[runners];
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        for (int node = 0; node < nodes; node++) {
            recorders.add(PaceRecorder.create());
            waiting.add(new ArrayDeque<>());
            List<RunnerLoadTracker> ofNode = new ArrayList<>();
            for (int i = 0; i < runners; i++) {
                ofNode.add(new RunnerLoadTracker(
                        new Runner("r" + i, 1, "v1", "s", address, "z", slots, false, List.of(), Set.of(), Set.of())));
            }
            trackers.add(ofNode);
        }
    }

    /** Plays the given time with a number of requests a second; times count from the given moment on. */
    void run(int seconds, double requestsPerSecond, long countFromMs) {
        for (long nowMs = 0; nowMs < seconds * 1_000L; nowMs++) {
            process(nowMs, countFromMs);
            for (int node = 0; node < recorders.size(); node++) {
                if ((nowMs + node * 37L) % REPORT_INTERVAL_MS == 0) {
                    report(node, nowMs);
                }
                if (!waiting.get(node).isEmpty()) {
                    start(node, nowMs);
                }
            }
            if (random.nextDouble() < requestsPerSecond / 1_000) {
                int node = random.nextInt(recorders.size());
                waiting.get(node).add(nowMs);
                start(node, nowMs);
            }
        }
    }

    private void process(long nowMs, long countFromMs) {
        while (!due.isEmpty() && due.peek().atMs() <= nowMs) {
            Due next = due.poll();
            if (next.first().isPresent()) {
                recorders.get(next.node()).finish(next.first().get(), nowMs * NANOS_PER_MS);
                continue;
            }
            trackers.get(next.node()).get(next.runner()).requestEnded(NO_MODEL, 0);
            requestsByNode[next.node()][next.runner()]--;
            requests[next.runner()]--;
            if (next.arrivedMs() >= countFromMs) {
                timesMs.add(nowMs - next.arrivedMs());
            }
        }
    }

    private void report(int node, long nowMs) {
        long nowNanos = nowMs * NANOS_PER_MS;
        fleet.update(recorders.get(node).drain(nowNanos), nowNanos);
        List<RunnerLoadTracker> ofNode = trackers.get(node);
        for (int i = 0; i < ofNode.size(); i++) {
            int elsewhere = requests[i] - requestsByNode[node][i];
            ofNode.get(i).applySnapshot(new RunnerSnapshot("r" + i, 1, Optional.empty(), elsewhere, 0));
        }
        fleet.changesFor("n" + node, 0, 1, nowNanos).stream()
                .filter(pace -> usesPaces)
                .forEach(pace ->
                        ofNode.get(Integer.parseInt(pace.runner().substring(1))).updatePace(pace.ratio()));
        paceSamples += ofNode.size();
        unusualSamples += fleet.unusualCount();
    }

    /** Starts the oldest waiting request of a node; a runner rejects what exceeds its slots. */
    private void start(int node, long nowMs) {
        List<RunnerLoadTracker> ofNode = trackers.get(node);
        RunnerSelector selector = RunnerSelector.of(SERVICE, "z", recorders.size(), random, nowMs * NANOS_PER_MS);
        Optional<RunnerLoadTracker> chosen = selector.choose(ofNode, REQUIREMENTS);
        if (chosen.isEmpty()) {
            return;
        }
        int runner = ofNode.indexOf(chosen.get());
        if (requests[runner] >= slots) {
            chosen.get().markFull(nowMs * NANOS_PER_MS);
            return;
        }
        chosen.get().requestStarted(NO_MODEL, 0);
        requestsByNode[node][runner]++;
        requests[runner]++;
        starts.add(new Start(nowMs, runner));
        double usualMs = MEAN_DURATION_MS * Math.exp(SPREAD * random.nextGaussian());
        double durationMs = usualMs * slowness.of(runner, nowMs, random);
        long arrivedMs = waiting.get(node).removeFirst();
        long firstMs = nowMs + Math.round(durationMs / FIRST_EVENT_PART);
        PaceRecorder.Measurement first =
                recorders.get(node).begin(new RunnerProcess("r" + runner, 1), FIRST_EVENT, nowMs * NANOS_PER_MS);
        due.add(new Due(firstMs, node, runner, Optional.of(first), arrivedMs));
        due.add(new Due(nowMs + Math.round(durationMs), node, runner, Optional.empty(), arrivedMs));
    }

    /** Returns the number of requests that started at a runner in a period. */
    long startsAt(int runner, long fromMs, long toMs) {
        return starts.stream()
                .filter(start -> start.runner() == runner && start.atMs() >= fromMs && start.atMs() < toMs)
                .count();
    }

    /** Returns the mean time from arrival to the end of the answer, in milliseconds. */
    double meanMs() {
        return timesMs.stream().mapToLong(Long::longValue).average().orElseThrow();
    }

    /** Returns a quantile of these times, in milliseconds. */
    long quantileMs(double quantile) {
        List<Long> sorted = new ArrayList<>(timesMs);
        Collections.sort(sorted);
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    /** Returns the share of the runners whose pace was not the usual one, over all reports. */
    double unusualShare() {
        return (double) unusualSamples / paceSamples;
    }

    /** Returns the pace of a runner as the nodes last heard it. */
    double paceAtNodes(int runner) {
        return trackers.getFirst().get(runner).pace();
    }

    int servedCount() {
        return timesMs.size();
    }
}
