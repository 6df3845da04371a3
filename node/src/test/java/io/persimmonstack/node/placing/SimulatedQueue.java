package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A {@link RequestQueue} before runners that each hold a few of the models and run a number of requests at once, in
 * simulated time. A request occupies its place in proportion to its tokens.
 */
final class SimulatedQueue {
    /** Time for which a request occupies its place, in milliseconds for each token. */
    static final double MS_PER_TOKEN = 0.5;

    static final int MODELS = 8;
    private static final int MODELS_PER_RUNNER = 3;

    private final RequestQueue queue = new RequestQueue();
    private final List<SimulatedRunner> runners = new ArrayList<>();
    private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparingLong(Run::endMs));
    private final Deque<QueuedRequest> byArrival = new ArrayDeque<>();
    private final int slots;
    private final long giveUpMs;
    private final BiConsumer<QueuedRequest, Long> onPlaced;

    /** Runner with the number of its requests. */
    private static final class SimulatedRunner {
        private final Runner runner;
        private int requests;

        private SimulatedRunner(Runner runner) {
            this.runner = runner;
        }

        private boolean holds(String model) {
            return runner.models().stream().anyMatch(held -> held.name().equals(model));
        }
    }

    private record Run(SimulatedRunner runner, long endMs) {}

    /**
     * Creates a queue before idle runners.
     *
     * @param runnerCount number of runners
     * @param slots requests that a runner runs at once
     * @param giveUpMs time for which a request waits at most, in milliseconds
     * @param onPlaced receives each placed request and the time, in milliseconds
     */
    SimulatedQueue(int runnerCount, int slots, long giveUpMs, BiConsumer<QueuedRequest, Long> onPlaced) {
        this.slots = slots;
        this.giveUpMs = giveUpMs;
        this.onPlaced = onPlaced;
        for (int i = 0; i < runnerCount; i++) {
            List<HeldModel> models = new ArrayList<>();
            for (int j = 0; j < MODELS_PER_RUNNER; j++) {
                models.add(new HeldModel("m" + (i + 3 * j) % MODELS, 1, Set.of()));
            }
            PeerAddress address = new PeerAddress("127.0.0.1", 1);
            runners.add(new SimulatedRunner(
                    new Runner("e" + i, 1, "v", "s", address, "z", slots, false, models, Set.of(), Set.of())));
        }
    }

    /** Ends what ends by a time, offers the freed places, and lets requests give up. */
    void advanceTo(long nowMs) {
        while (!runs.isEmpty() && runs.peek().endMs() <= nowMs) {
            SimulatedRunner freed = runs.poll().runner();
            freed.requests--;
            queue.offer(
                    queue.groupsFor(freed.runner, freed.runner.models()),
                    TimeUnit.MILLISECONDS.toNanos(nowMs),
                    queued -> begin(queued, freed, nowMs),
                    () -> freed.requests == slots);
        }
        while (!byArrival.isEmpty() && receivedMs(byArrival.peek()) + giveUpMs <= nowMs) {
            queue.remove(byArrival.poll());
        }
    }

    void arrive(QueuedRequest queued, long nowMs) {
        queue.add(queued);
        byArrival.add(queued);
        queue.offer(
                queue.groupOf(queued),
                TimeUnit.MILLISECONDS.toNanos(nowMs),
                first -> runners.stream()
                        .filter(runner -> runner.requests < slots && runner.holds(model(first)))
                        .min(Comparator.comparingInt(runner -> runner.requests))
                        .map(runner -> begin(first, runner, nowMs))
                        .orElse(false),
                () -> false);
    }

    private boolean begin(QueuedRequest queued, SimulatedRunner runner, long nowMs) {
        queue.recordPlaced(queued);
        runner.requests++;
        long tokens = queued.request().callerRequest().tokens().likelyTotal();
        runs.add(new Run(runner, nowMs + Math.round(tokens * MS_PER_TOKEN)));
        onPlaced.accept(queued, nowMs);
        return true;
    }

    private static String model(QueuedRequest queued) {
        return queued.request().callerRequest().model().orElseThrow().model();
    }

    private static long receivedMs(QueuedRequest queued) {
        return TimeUnit.NANOSECONDS.toMillis(queued.request().receivedNanos());
    }
}
