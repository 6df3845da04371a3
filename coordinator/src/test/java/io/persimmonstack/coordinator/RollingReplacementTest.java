package io.persimmonstack.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.Snapshot;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Replaces all coordinators one by one while clients request loads and the configuration changes. Guards against load
 * requests that no coordinator answers, exceeded replica caps and a node that falls back to an older configuration.
 */
class RollingReplacementTest {
    private static final List<String> RUNNERS = List.of("runner-1", "runner-2", "runner-3", "runner-4");
    private static final Map<String, Integer> CAPS = new TreeMap<>(Map.of("summary", 2, "dispute", 1, "lease", 1));
    private static final int LOAD_CLIENTS = 3;
    private static final long REQUEST_PAUSE_NANOS = 2_000_000L;
    private final TestFleet fleet = new TestFleet();
    private final AtomicInteger answeredLoads = new AtomicInteger();
    private final AtomicInteger unansweredLoads = new AtomicInteger();
    private final Map<String, Long> highestVersionByNode = new ConcurrentSkipListMap<>();
    private final List<Thread> clientThreads = new CopyOnWriteArrayList<>();
    private volatile boolean stopRequested;

    @AfterEach
    void close() {
        stopRequested = true;
        fleet.close();
    }

    @Test
    void loadsAreAnsweredCapsHoldAndConfigurationNeverReverts() throws Exception {
        for (int i = 0; i < RUNNERS.size(); i++) {
            fleet.platform.addRunner(RUNNERS.get(i), "z" + (1 + i % 2), i % 2 == 0);
        }
        for (Map.Entry<String, Integer> model : CAPS.entrySet()) {
            fleet.deploy(model.getKey(), model.getValue());
        }
        for (int i = 1; i <= 3; i++) {
            fleet.start("entry-" + i, "z" + (1 + i % 2));
        }
        awaitAllRunnersOwned("entry-3", CAPS.size());
        startLoadClients();
        for (int i = 1; i <= 3; i++) {
            String replacement = "entry-" + (i + 3);
            fleet.start(replacement, "z" + (1 + i % 2));
            fleet.stopGracefully("entry-" + i);
            fleet.deploy("added-" + i, 1);
            awaitAllRunnersOwned(replacement, CAPS.size() + i);
        }
        stopRequested = true;
        for (Thread thread : clientThreads) {
            thread.join();
        }
        assertTrue(answeredLoads.get() > 0);
        assertEquals(0, unansweredLoads.get(), "unanswered loads, besides " + answeredLoads.get() + " answered");
        assertEquals(List.of(), fleet.platform.violations);
        CAPS.forEach((model, cap) -> assertTrue(
                fleet.platform.maxReplicasByModel.getOrDefault(model, 0L) <= cap, model + " is over its cap"));
    }

    /** Waits until a node has the given configuration version and sees each runner owned by a running node. */
    private void awaitAllRunnersOwned(String node, long version) throws Exception {
        fleet.await(
                node,
                "all runners are owned",
                snapshot -> assertVersionNotDecreased(node, snapshot)
                        && snapshot.getConfigurationVersion() == version
                        && snapshot.getRunners().size() == RUNNERS.size()
                        && snapshot.getRunners().stream()
                                .allMatch(status -> fleet.runningNodes().contains(status.getOwnerNode())));
    }

    /** Fails if the node reported a newer configuration version before; returns true for use in a condition. */
    private boolean assertVersionNotDecreased(String node, Snapshot snapshot) {
        long version = snapshot.getConfigurationVersion();
        long before = highestVersionByNode.merge(node, version, Math::max);
        assertTrue(version >= before, () -> node + " reverted from configuration " + before + " to " + version);
        return true;
    }

    /** Starts clients that request loads of all models from any node until the test stops them. */
    private void startLoadClients() {
        for (int i = 0; i < LOAD_CLIENTS; i++) {
            Random random = new Random(i);
            clientThreads.add(Thread.ofVirtual().start(() -> {
                while (!stopRequested) {
                    for (String model : CAPS.keySet()) {
                        Optional<LoadAnswer> answer = fleet.loadFromAnyNode(model + "@v1", random);
                        (answer.isPresent() ? answeredLoads : unansweredLoads).incrementAndGet();
                        LockSupport.parkNanos(REQUEST_PAUSE_NANOS);
                    }
                }
            }));
        }
    }
}
