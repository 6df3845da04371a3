package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pattern: many nodes report to one leader. The kept sums must equal sums made anew, whatever reports come late, twice,
 * from a node that was restarted, or no more.
 */
class RunnerLoadsTest {
    private static final int NODES = 20;
    private static final int RUNNERS = 8;
    private static final int STEPS = 2_000;
    private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final NodeReports reports = NodeReports.create();
    private final Map<String, List<RunnerUsage>> latest = new HashMap<>();
    private final Map<String, Long> receivedNanos = new HashMap<>();

    private static List<RunnerUsage> randomUsages(Random random) {
        List<RunnerUsage> usages = new ArrayList<>();
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            ModelRef model = new ModelRef("m" + random.nextInt(3), random.nextBoolean() ? "" : "a1");
            int requests = 1 + random.nextInt(4);
            usages.add(new RunnerUsage("r" + random.nextInt(RUNNERS), model, requests, requests * 700L));
        }
        return usages;
    }

    private List<RunnerUsage> validUsages(String exceptNode, String runner, long nowNanos) {
        List<RunnerUsage> all = new ArrayList<>();
        latest.forEach((node, usages) -> {
            if (!node.equals(exceptNode) && nowNanos - receivedNanos.get(node) <= VALID_NANOS) {
                usages.stream().filter(usage -> usage.runner().equals(runner)).forEach(all::add);
            }
        });
        return all;
    }

    private void assertSumsAreExact(String node, long nowNanos) {
        Map<String, RunnerLoads.Load> loads = reports.loadsExcept(node, nowNanos);
        for (int i = 0; i < RUNNERS; i++) {
            String runner = "r" + i;
            List<RunnerUsage> others = validUsages(node, runner, nowNanos);
            RunnerLoads.Load expected = new RunnerLoads.Load(
                    others.stream().mapToInt(RunnerUsage::requests).sum(),
                    others.stream().mapToLong(RunnerUsage::tokens).sum());
            assertEquals(expected, loads.getOrDefault(runner, RunnerLoads.Load.NONE), runner + " for " + node);
            Map<ModelRef, Integer> byModel = new HashMap<>();
            validUsages("", runner, nowNanos)
                    .forEach(usage -> byModel.merge(usage.model(), usage.requests(), Integer::sum));
            assertEquals(byModel, reports.requestsByModel(runner, nowNanos), runner);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void keptSumsEqualSumsMadeAnew(long seed) {
        Random random = new Random(seed);
        long nowNanos = random.nextLong();
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextLong(MAX_STEP_NANOS);
            String node = "n" + random.nextInt(NODES);
            boolean repeated = latest.containsKey(node) && random.nextInt(4) == 0;
            List<RunnerUsage> usages = repeated ? latest.get(node) : randomUsages(random);
            reports.update(node, usages, List.of(), nowNanos);
            latest.put(node, usages);
            receivedNanos.put(node, nowNanos);
            assertSumsAreExact("n" + random.nextInt(NODES + 1), nowNanos);
        }
    }
}
