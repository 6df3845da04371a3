package io.persimmonstack.examples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.model.ModelVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ExamplesTest {
    private static final int MAX_CODE_LINES = 60;
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private final InMemoryKvStore store = InMemoryKvStore.create();

    @Test
    void secondOwnerTakesOverAndTheCapHolds() throws Exception {
        LeaseFreeOwner first = LeaseFreeOwner.of("a", 1, store);
        LeaseFreeOwner second = LeaseFreeOwner.of("b", 1, store);
        assertEquals("granted at epoch 1", first.acquireAndGrant("machine-1", MODEL, 1));
        assertEquals("cap reached", second.acquireAndGrant("machine-2", MODEL, 1));
        assertEquals("granted at epoch 2", second.acquireAndGrant("machine-1", MODEL, 1));
    }

    @Test
    void repeatedWorkRunsOnceAndReturnsTheFirstOutcome() {
        AtomicInteger runs = new AtomicInteger();
        AtMostOnceRunner first = AtMostOnceRunner.of("process-1", store);
        AtMostOnceRunner second = AtMostOnceRunner.of("process-2", store);
        assertEquals("run 1", first.run("release-17", () -> "run " + runs.incrementAndGet()));
        assertEquals("run 1", second.run("release-17", () -> "run " + runs.incrementAndGet()));
        assertEquals(1, runs.get());
    }

    @Test
    void onlyOneOfTwoCompetingCommitsSucceeds() throws Exception {
        ConfigurationFollower first = ConfigurationFollower.of(store);
        ConfigurationFollower second = ConfigurationFollower.of(store);
        assertTrue(first.commit("cap 2", "operation-1"));
        assertFalse(second.commit("cap 3", "operation-2"));
        assertEquals("cap 2", second.refresh());
        assertTrue(second.commit("cap 3", "operation-3"));
        assertEquals("cap 3", first.refresh());
    }

    @Test
    void processesStayWithinTheSharedLimit() {
        Map<String, SharedLimit> fleet = new TreeMap<>();
        List<String> nodes = List.of("a", "b", "c");
        nodes.forEach(node -> SharedLimit.of(node, fleet));
        fleet.values().forEach(share -> share.resize(4, 1_000, nodes, 0));
        AtomicInteger runs = new AtomicInteger();
        for (int i = 0; i < 30; i++) {
            fleet.get(nodes.get(i % 2)).run(runs::incrementAndGet, 0);
        }
        assertEquals(4, runs.get(), "two processes can use all permits of the limit, but no more");
        fleet.values().forEach(share -> share.returnDuePermits(1_000));
        assertTrue(fleet.get("c").run(runs::incrementAndGet, 1_000), "the borrowed permits were returned");
    }

    @Test
    void everyExampleIsShort() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/io/persimmonstack/examples"))) {
            for (Path file : files.toList()) {
                long lines = Files.readAllLines(file).stream()
                        .filter(line -> !line.isBlank() && !line.startsWith("import") && !line.startsWith("package"))
                        .count();
                assertTrue(lines < MAX_CODE_LINES, file + " has " + lines + " lines");
            }
        }
    }
}
