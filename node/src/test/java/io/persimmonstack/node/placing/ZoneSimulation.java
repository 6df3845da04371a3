package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Plays 20 nodes in four zones in simulated time. Each zone has three runners; the nodes learn of each other's requests
 * four times a second, and 20 times a second while requests wait.
 */
final class ZoneSimulation {
    static final int ZONES = 4;
    static final int NODES = 20;
    static final int RUNNERS_OF_ZONE = 3;
    static final int SLOTS = 8;
    static final int MEAN_DURATION_MS = 400;
    static final double PER_SECOND_OF_ZONE = RUNNERS_OF_ZONE * SLOTS * 1_000.0 / MEAN_DURATION_MS;
    private static final int IDLE_REPORT_MS = 250;
    private static final int QUEUED_REPORT_MS = 50;
    private static final int PATIENCE_MS = 2_000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final double SPREAD = 0.4;
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    private static final Service SERVICE = new Service("s", "/health", 10, Optional.empty());

    /** Requests for each place of a zone's runners. */
    interface Demand {
        double of(int zone, long nowMs);
    }

    /** How nodes choose the zone. */
    enum Choice {
        DECIDED,
        HOME_ONLY,
        ANY
    }

    private record Waiting(long arrivedMs, double position) {}

    private record Running(long endMs, int node, int runner, long arrivedMs) {}

    private final Choice choice;
    private final Random random;
    private final List<List<RunnerLoadTracker>> trackers = new ArrayList<>();
    private final List<ZoneRouter> routers = new ArrayList<>();
    private final List<Deque<Waiting>> waiting = new ArrayList<>();
    private final long[] reportedMs = new long[NODES];
    private final int[][] requestsByNode = new int[NODES][ZONES * RUNNERS_OF_ZONE];
    private final int[] requests = new int[ZONES * RUNNERS_OF_ZONE];
    private final PriorityQueue<Running> running =
            new PriorityQueue<>((one, other) -> Long.compare(one.endMs(), other.endMs()));
    private final Map<String, Boolean> cutLinks = new HashMap<>();
    private final List<Long> timesMs = new ArrayList<>();
    private final int[] sentByZone = new int[ZONES];
    private final int[] leftByZone = new int[ZONES];
    private final List<Double> shares = new ArrayList<>();
    private int shareChanges;
    private int lost;
    private int sentOverCutLink;

    ZoneSimulation(Choice choice, long seed) {
        this.choice = choice;
        this.random = new Random(seed);
        Map<String, String> regions = Map.of("z0", "r", "z1", "r", "z2", "r", "z3", "r");
        for (int node = 0; node < NODES; node++) {
            List<RunnerLoadTracker> ofNode = new ArrayList<>();
            for (int i = 0; i < ZONES * RUNNERS_OF_ZONE; i++) {
                ofNode.add(tracker(i));
            }
            trackers.add(ofNode);
            routers.add(ZoneRouter.of(zoneOf(node), regions, counter()));
            waiting.add(new ArrayDeque<>());
            reportedMs[node] = -random.nextInt(IDLE_REPORT_MS);
        }
    }

    private ZoneListener counter() {
        return new ZoneListener() {
            @Override
            public void placed(ZoneCause cause) {}

            @Override
            public void shareChanged(String service, double share, double home, double away) {
                shareChanges++;
            }

            @Override
            public void linkChanged(String zone, boolean cut) {}
        };
    }

    private static RunnerLoadTracker tracker(int runner) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        String zone = "z" + runner / RUNNERS_OF_ZONE;
        return new RunnerLoadTracker(
                new Runner("r" + runner, 1, "v1", "s", address, zone, SLOTS, false, List.of(), Set.of(), Set.of()));
    }

    private static String zoneOf(int node) {
        return "z" + node % ZONES;
    }

    /** Lets all connections from one zone to another fail. */
    void cut(int fromZone, int toZone, boolean cut) {
        cutLinks.put("z" + fromZone + " z" + toZone, cut);
    }

    /** Plays from one moment to another; requests that arrive from {@code countFromMs} on are counted. */
    void run(long fromMs, long toMs, Demand demand, long countFromMs) {
        for (long nowMs = fromMs; nowMs < toMs; nowMs++) {
            end(nowMs, countFromMs);
            for (int zone = 0; zone < ZONES; zone++) {
                if (random.nextDouble() < demand.of(zone, nowMs) * PER_SECOND_OF_ZONE / 1_000) {
                    int node = zone + ZONES * random.nextInt(NODES / ZONES);
                    waiting.get(node).add(new Waiting(nowMs, random.nextDouble()));
                    start(node, nowMs, countFromMs);
                }
            }
            for (int node = 0; node < NODES; node++) {
                int intervalMs = waiting.get(node).isEmpty() ? IDLE_REPORT_MS : QUEUED_REPORT_MS;
                if (nowMs - reportedMs[node] >= intervalMs) {
                    reportedMs[node] = nowMs;
                    report(node);
                    startWaiting(node, nowMs, countFromMs);
                }
            }
            if (nowMs >= countFromMs && nowMs % 250 == 0) {
                shares.add(routers.getFirst().share("s"));
            }
        }
    }

    private void end(long nowMs, long countFromMs) {
        while (!running.isEmpty() && running.peek().endMs() <= nowMs) {
            Running ended = running.poll();
            trackers.get(ended.node()).get(ended.runner()).requestEnded(NO_MODEL, 0);
            requestsByNode[ended.node()][ended.runner()]--;
            requests[ended.runner()]--;
            if (ended.arrivedMs() >= countFromMs) {
                timesMs.add(nowMs - ended.arrivedMs());
            }
            startWaiting(ended.node(), nowMs, countFromMs);
        }
    }

    private void report(int node) {
        for (int i = 0; i < requests.length; i++) {
            int elsewhere = requests[i] - requestsByNode[node][i];
            trackers.get(node).get(i).applySnapshot(new RunnerSnapshot("r" + i, 1, Optional.empty(), elsewhere, 0));
        }
    }

    private void startWaiting(int node, long nowMs, long countFromMs) {
        Deque<Waiting> queue = waiting.get(node);
        queue.removeIf(request -> {
            boolean expired = nowMs - request.arrivedMs() > PATIENCE_MS;
            lost += expired && request.arrivedMs() >= countFromMs ? 1 : 0;
            return expired;
        });
        for (Waiting request : List.copyOf(queue)) {
            start(node, request, nowMs, countFromMs);
        }
    }

    private void start(int node, long nowMs, long countFromMs) {
        start(node, waiting.get(node).peekLast(), nowMs, countFromMs);
    }

    private void start(int node, Waiting request, long nowMs, long countFromMs) {
        long nowNanos = nowMs * NANOS_PER_MS;
        List<RunnerLoadTracker> ofNode = trackers.get(node);
        Optional<RunnerLoadTracker> chosen = choose(node, request, nowNanos);
        if (chosen.isEmpty()) {
            return;
        }
        int runner = ofNode.indexOf(chosen.get());
        String zone = chosen.get().runner().zone();
        if (cutLinks.getOrDefault(zoneOf(node) + " " + zone, false)) {
            sentOverCutLink++;
            chosen.get().markUnreachable(nowNanos);
            return;
        }
        if (requests[runner] >= SLOTS) {
            chosen.get().markFull(nowNanos);
            return;
        }
        waiting.get(node).remove(request);
        chosen.get().requestStarted(NO_MODEL, 0);
        requestsByNode[node][runner]++;
        requests[runner]++;
        if (request.arrivedMs() >= countFromMs) {
            sentByZone[node % ZONES]++;
            leftByZone[node % ZONES] += zone.equals(zoneOf(node)) ? 0 : 1;
        }
        double durationMs = MEAN_DURATION_MS * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
        running.add(new Running(nowMs + Math.round(durationMs), node, runner, request.arrivedMs()));
    }

    private double waitingBefore(int node, long nowNanos) {
        return waiting.get(node).stream()
                .filter(request -> request.arrivedMs() * NANOS_PER_MS < nowNanos)
                .count();
    }

    private Optional<RunnerLoadTracker> choose(int node, Waiting request, long nowNanos) {
        List<RunnerLoadTracker> ofNode = trackers.get(node);
        RunnerSelector selector = RunnerSelector.of(SERVICE, zoneOf(node), NODES, random, nowNanos);
        RunnerSelector.Requirements requirements =
                new RunnerSelector.Requirements(Optional.empty(), 0, RunnerFilter.any(), Optional.empty());
        Predicate<RunnerLoadTracker> isHome = tracker -> tracker.runner().zone().equals(zoneOf(node));
        return switch (choice) {
            case ANY -> selector.choose(ofNode, requirements);
            case HOME_ONLY -> selector.choose(ofNode.stream().filter(isHome).toList(), requirements);
            case DECIDED -> {
                ZoneRouter router = routers.get(node);
                if (router.isDue("s", nowNanos)) {
                    router.update("s", ofNode, waitingBefore(node, nowNanos) * NODES / ZONES, nowNanos);
                }
                double waitedMs = nowNanos / (double) NANOS_PER_MS - request.arrivedMs();
                ZoneRouter.Request described =
                        new ZoneRouter.Request("s", request.position(), waitedMs, 40_000, 0, Optional.empty());
                yield router.candidates(described, ofNode, tracker -> true, nowNanos).stream()
                        .map(group -> selector.choose(group.trackers(), requirements))
                        .flatMap(Optional::stream)
                        .findFirst();
            }
        };
    }

    /** Returns the share of the requests of a zone that were sent to others. */
    double leftShare(int zone) {
        return (double) leftByZone[zone] / Math.max(1, sentByZone[zone]);
    }

    /** Returns the share of the requests of all zones that were sent to others. */
    double leftShare() {
        int left = 0;
        int sent = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            left += leftByZone[zone];
            sent += sentByZone[zone];
        }
        return (double) left / Math.max(1, sent);
    }

    double meanMs() {
        return timesMs.stream().mapToLong(Long::longValue).average().orElse(0);
    }

    /** Returns a quantile of the time from arrival to the end of the answer, in milliseconds. */
    long quantileMs(double quantile) {
        List<Long> sorted = new ArrayList<>(timesMs);
        Collections.sort(sorted);
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    /** Returns the share of the requests that were given up. */
    double lostShare() {
        return (double) lost / (lost + timesMs.size());
    }

    /** Returns the standard deviation of the share that the first node sends to other zones. */
    double shareDeviation() {
        double mean = shares.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        return Math.sqrt(shares.stream()
                .mapToDouble(share -> (share - mean) * (share - mean))
                .average()
                .orElse(0));
    }

    int shareChanges() {
        return shareChanges;
    }

    int sentOverCutLink() {
        return sentOverCutLink;
    }

    @Override
    public String toString() {
        return ("%s: left %.3f (%.3f %.3f %.3f %.3f), lost %.3f, mean %.0f ms, p50 %d, p99 %d, deviation %.2f,"
                        + " changes %d")
                .formatted(
                        choice,
                        leftShare(),
                        leftShare(0),
                        leftShare(1),
                        leftShare(2),
                        leftShare(3),
                        lostShare(),
                        meanMs(),
                        quantileMs(0.5),
                        quantileMs(0.99),
                        shareDeviation(),
                        shareChanges);
    }
}
