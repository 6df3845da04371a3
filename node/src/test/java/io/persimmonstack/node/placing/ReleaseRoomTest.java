package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pattern: a release replaces the runners of a service one by one. Two runners of the old version are left beside six
 * of the new one, more new streams come than there are places for, and a tenth as many go on at the old version. The
 * share of those that find a place in time must be at least half of the share of the new ones; the aim is as much.
 */
class ReleaseRoomTest {
    private static final int NODES = 3;
    private static final int RUNNERS_OF_OLD = 2;
    private static final int RUNNERS_OF_NEW = 6;
    private static final int NEW_STREAMS = 4_000;
    private static final int REPORT_INTERVAL_MS = 50;
    private static final int MEAN_DURATION_MS = 3_000;
    private static final int WAIT_MS = 500;
    private static final double LOAD = 1.5;
    private static final double SHARE_GOING_ON = 0.1;
    private static final double MIN_RATIO = 0.5;
    private static final RunnerFilter OLD_ONLY = new RunnerFilter(Set.of(), Optional.of("old"));

    /** Stream that has a place. */
    private record InProgress(int node, String runner, Placement placement, long endMs) {}

    /** Streams of one kind: how many came, and how many found a place in time. */
    private static final class Count {
        private int came;
        private int placed;

        private double share() {
            return (double) placed / came;
        }

        @Override
        public String toString() {
            return placed + " of " + came;
        }
    }

    private final List<FleetView> fleets = new ArrayList<>();
    private final List<Placer> placers = new ArrayList<>();
    private final List<List<QueuedRequest>> queues = new ArrayList<>();
    private final List<Map<String, Integer>> requestsByNode = new ArrayList<>();
    private final Map<String, Integer> requests = new HashMap<>();
    private final PriorityQueue<InProgress> inProgress =
            new PriorityQueue<>((one, other) -> Long.compare(one.endMs(), other.endMs()));
    private final Count newStreams = new Count();
    private final Count goingOn = new Count();

    private static Runner runner(String id, String softwareVersion, int slots) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, 1, softwareVersion, "s", address, "z", slots, false, List.of(), Set.of(), Set.of());
    }

    private static Map<String, Runner> release(int slots, Stream<Runner> others) {
        Stream<Runner> old = IntStream.range(0, RUNNERS_OF_OLD).mapToObj(i -> runner("old" + i, "old", slots));
        Stream<Runner> ofNew = IntStream.range(0, RUNNERS_OF_NEW).mapToObj(i -> runner("new" + i, "new", slots));
        return Stream.of(old, ofNew, others)
                .flatMap(Function.identity())
                .collect(Collectors.toMap(Runner::id, Function.identity()));
    }

    private void startNodes(int slots) {
        for (int node = 0; node < NODES; node++) {
            FleetView fleet = FleetView.create();
            fleets.add(fleet);
            placers.add(Placer.create(fleet, "z"));
            queues.add(new ArrayList<>());
            requestsByNode.add(new HashMap<>());
            Map<String, Runner> draining =
                    release(slots, Stream.of(runner("old9", "old", slots).asLeaving()));
            fleet.update(now -> now.withRunners(draining, 1));
            fleet.update(now -> now.withRunners(release(slots, Stream.empty()), 2));
        }
    }

    private void arrive(int node, RunnerFilter runnerFilter, long nowMs) {
        count(runnerFilter).came++;
        ActiveRequest request =
                Requests.received(RouteKind.STREAM, TimeUnit.MILLISECONDS.toNanos(nowMs), MEAN_DURATION_MS);
        long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(nowMs + WAIT_MS);
        queues.get(node).add(new QueuedRequest(request, runnerFilter, deadlineNanos));
    }

    private Count count(RunnerFilter runnerFilter) {
        return runnerFilter.softwareVersion().isPresent() ? goingOn : newStreams;
    }

    private void placeQueued(int node, int slots, Random random, long nowMs) {
        List<QueuedRequest> queue = queues.get(node);
        queue.removeIf(queued -> queued.deadlineNanos() <= TimeUnit.MILLISECONDS.toNanos(nowMs));
        queue.sort(null);
        queue.removeIf(queued -> placers.get(node)
                .placeNow(queued.request(), queued.runnerFilter())
                .filter(placement -> runnerAccepts(placement, slots))
                .map(placement -> begin(node, queued, placement, random, nowMs))
                .isPresent());
    }

    /** A runner rejects what exceeds its slots, which a node that lacks the latest reports can't know. */
    private boolean runnerAccepts(Placement placement, int slots) {
        boolean accepts = requests.getOrDefault(placement.runner().id(), 0) < slots;
        if (!accepts) {
            placement.close();
        }
        return accepts;
    }

    private InProgress begin(int node, QueuedRequest queued, Placement placement, Random random, long nowMs) {
        String runner = placement.runner().id();
        count(queued.runnerFilter()).placed++;
        requests.merge(runner, 1, Integer::sum);
        requestsByNode.get(node).merge(runner, 1, Integer::sum);
        long durationMs = Math.round(-Math.log(1 - random.nextDouble()) * MEAN_DURATION_MS);
        InProgress begun = new InProgress(node, runner, placement, nowMs + durationMs);
        inProgress.add(begun);
        return begun;
    }

    private void endStreams(long nowMs) {
        while (!inProgress.isEmpty() && inProgress.peek().endMs() <= nowMs) {
            InProgress ended = inProgress.poll();
            ended.placement().close();
            requests.merge(ended.runner(), -1, Integer::sum);
            requestsByNode.get(ended.node()).merge(ended.runner(), -1, Integer::sum);
        }
    }

    /** Tells a node the requests of the others, as the leader does in its answer to a report. */
    private void report(int node) {
        placers.get(node)
                .applySnapshots(requests.entrySet().stream()
                        .map(entry -> {
                            int own = requestsByNode.get(node).getOrDefault(entry.getKey(), 0);
                            return new RunnerSnapshot(entry.getKey(), 1, Optional.empty(), entry.getValue() - own, 0);
                        })
                        .toList());
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "4, 2", "4, 3", "32, 1", "64, 1"})
    void streamsThatGoOnFindAPlaceLikeNewOnes(int slots, long seed) {
        Random random = new Random(seed);
        startNodes(slots);
        double newPerMs = LOAD * (RUNNERS_OF_OLD + RUNNERS_OF_NEW) * slots / MEAN_DURATION_MS;
        for (long nowMs = 0; newStreams.came < NEW_STREAMS; nowMs++) {
            endStreams(nowMs);
            if (random.nextDouble() < newPerMs) {
                arrive(random.nextInt(NODES), RunnerFilter.any(), nowMs);
            }
            if (random.nextDouble() < newPerMs * SHARE_GOING_ON) {
                arrive(random.nextInt(NODES), OLD_ONLY, nowMs);
            }
            for (int node = 0; node < NODES; node++) {
                if ((nowMs + node * 17L) % REPORT_INTERVAL_MS == 0) {
                    report(node);
                }
                placeQueued(node, slots, random, nowMs);
            }
        }
        String shares = "go on: " + goingOn + ", new: " + newStreams;
        assertTrue(goingOn.share() >= MIN_RATIO * newStreams.share(), shares);
        assertEquals(
                0, requests.values().stream().filter(count -> count > slots).count());
    }
}
