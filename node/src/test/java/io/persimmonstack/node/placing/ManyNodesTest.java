package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pattern: 95 nodes send requests to the same ten runners and learn of each other's requests four times a second. While
 * a third of all slots is free, hardly any request may go to a runner that is full.
 */
class ManyNodesTest {
    private static final int NODES = 95;
    private static final int RUNNERS = 10;
    private static final int SLOTS = 12;
    private static final int SECONDS = 30;
    private static final int REPORT_INTERVAL_MS = 250;
    private static final int MEAN_DURATION_MS = 600;
    private static final double LOAD = 0.66;
    private static final double MAX_SHARE_AT_FULL_RUNNERS = 0.02;
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    private static final Service SERVICE = new Service("s", "/health", 10, Optional.empty());
    private static final RunnerSelector.Requirements REQUIREMENTS =
            new RunnerSelector.Requirements(Optional.empty(), 0, RunnerFilter.any(), Optional.empty());

    /** Request in progress. */
    private record InProgress(int node, int runner, long endMs) {}

    private final List<List<RunnerLoadTracker>> trackers = new ArrayList<>();
    private final int[][] requestsByNode = new int[NODES][RUNNERS];
    private final int[] requests = new int[RUNNERS];
    private final PriorityQueue<InProgress> inProgress =
            new PriorityQueue<>((one, other) -> Long.compare(one.endMs(), other.endMs()));
    private int sent;
    private int sentToFullRunners;

    private void startNodes() {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        for (int node = 0; node < NODES; node++) {
            List<RunnerLoadTracker> ofNode = new ArrayList<>();
            for (int i = 0; i < RUNNERS; i++) {
                ofNode.add(new RunnerLoadTracker(
                        new Runner("r" + i, 1, "v1", "s", address, "z", SLOTS, false, List.of(), Set.of(), Set.of())));
            }
            trackers.add(ofNode);
        }
    }

    private void send(int node, Random random, long nowMs) {
        RunnerSelector selector = RunnerSelector.of(SERVICE, "z", NODES, random, nowMs * 1_000_000);
        selector.choose(trackers.get(node), REQUIREMENTS).ifPresent(tracker -> {
            int runner = trackers.get(node).indexOf(tracker);
            sent++;
            sentToFullRunners += requests[runner] >= SLOTS ? 1 : 0;
            tracker.requestStarted(NO_MODEL, 0);
            requestsByNode[node][runner]++;
            requests[runner]++;
            long durationMs = Math.round(-Math.log(1 - random.nextDouble()) * MEAN_DURATION_MS);
            inProgress.add(new InProgress(node, runner, nowMs + durationMs));
        });
    }

    private void endRequests(long nowMs) {
        while (!inProgress.isEmpty() && inProgress.peek().endMs() <= nowMs) {
            InProgress ended = inProgress.poll();
            trackers.get(ended.node()).get(ended.runner()).requestEnded(NO_MODEL, 0);
            requestsByNode[ended.node()][ended.runner()]--;
            requests[ended.runner()]--;
        }
    }

    /** Tells a node the requests of the others, as the leader does in its answer to a report. */
    private void report(int node) {
        for (int i = 0; i < RUNNERS; i++) {
            int elsewhere = requests[i] - requestsByNode[node][i];
            trackers.get(node).get(i).applySnapshot(new RunnerSnapshot("r" + i, 1, Optional.empty(), elsewhere, 0));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsOfManyNodesSpreadOverTheRunners(long seed) {
        Random random = new Random(seed);
        startNodes();
        double perMs = LOAD * RUNNERS * SLOTS / MEAN_DURATION_MS;
        for (long nowMs = 0; nowMs < SECONDS * 1_000L; nowMs++) {
            endRequests(nowMs);
            for (int node = 0; node < NODES; node++) {
                if ((nowMs + node * 31L) % REPORT_INTERVAL_MS == 0) {
                    report(node);
                }
            }
            if (random.nextDouble() < perMs) {
                send(random.nextInt(NODES), random, nowMs);
            }
        }
        double share = (double) sentToFullRunners / sent;
        assertTrue(share <= MAX_SHARE_AT_FULL_RUNNERS, sentToFullRunners + " of " + sent + " sent to full runners");
    }

    /** In a small fleet each node takes the runner with the fewest requests. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8})
    void fewNodesChooseAmongAllRunners(int nodes) {
        startNodes();
        List<RunnerLoadTracker> runners = trackers.getFirst();
        runners.stream().skip(1).forEach(tracker -> tracker.requestStarted(NO_MODEL, 0));
        for (int seed = 0; seed < 50; seed++) {
            RunnerSelector selector = RunnerSelector.of(SERVICE, "z", nodes, new Random(seed), 0);
            assertEquals(
                    runners.getFirst(), selector.choose(runners, REQUIREMENTS).orElseThrow());
        }
    }
}
