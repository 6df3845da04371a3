package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;

/**
 * Measures the processor time of the leader's decisions at the size of large fleets, without a network. It prints one
 * line for each size; {@code build/bench/planner-cost} runs it.
 */
final class PlannerBenchmark {
    private static final int WARM_UP_ROUNDS = 300;
    private static final int ROUNDS = 300;
    private static final int MODELS_PER_RUNNER = 3;
    private static final int COPIES_PER_RUNNER = 6;
    private static final int USAGES_PER_NODE = 20;
    private static final int SLOTS = 12;
    private static final int ADAPTER_SLOTS = 8;
    private static final double NANOS_PER_MICRO = 1_000;

    private final Random random = new Random(1);
    private final int nodes;
    private final List<String> models = new ArrayList<>();
    private final List<String> runners = new ArrayList<>();
    private final Engine engine;

    private PlannerBenchmark(int nodes, int runners, int models) {
        this.nodes = nodes;
        Map<String, Model> byName = new HashMap<>();
        for (int i = 0; i < models; i++) {
            this.models.add("m" + i);
            byName.put("m" + i, new Model("m" + i, 65_000, 13_200, 760, 380, 40));
        }
        for (int i = 0; i < runners; i++) {
            this.runners.add("r" + i);
        }
        engine = new Engine(SLOTS, 45_000, 200_000, ADAPTER_SLOTS, 17, byName);
    }

    private <T> T any(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private ModelRef anyModel() {
        String adapter = random.nextBoolean() ? "" : "a" + random.nextInt(ADAPTER_SLOTS);
        return new ModelRef(any(models), adapter);
    }

    private RunnerState runner(String id) {
        Set<String> copies = new HashSet<>();
        RunnerStateBuilder builder = RunnerStateBuilder.runner(id);
        Map<ModelRef, Integer> requests = new HashMap<>();
        for (int i = 0; i < MODELS_PER_RUNNER; i++) {
            String model = any(models);
            copies.add(model);
            builder.holding(new HeldModel(model, 1, Set.of("a1", "a2")));
            requests.put(new ModelRef(model, ""), 1 + random.nextInt(3));
        }
        for (int i = 0; i < COPIES_PER_RUNNER; i++) {
            copies.add(any(models));
        }
        return builder.copies(Set.of(), copies).requests(requests).build();
    }

    private ServiceState state() {
        List<FleetDemand> demands = new ArrayList<>();
        for (String model : models) {
            int waiting = random.nextInt(20) == 0 ? 2 : 0;
            demands.add(new FleetDemand(new ModelRef(model, ""), waiting, 300, 2_500, random.nextDouble()));
            demands.add(new FleetDemand(new ModelRef(model, "a1"), waiting, 300, 2_500, random.nextDouble()));
            demands.add(new FleetDemand(new ModelRef(model, "a3"), 0, 0, 0, random.nextDouble()));
        }
        return new ServiceState(engine, runners.stream().map(this::runner).toList(), demands, Map.of(), 0, true, true);
    }

    private List<RunnerUsage> usages() {
        List<RunnerUsage> usages = new ArrayList<>();
        for (int i = 0; i < USAGES_PER_NODE; i++) {
            usages.add(new RunnerUsage(any(runners), anyModel(), 1, 900));
        }
        return usages;
    }

    private double microsPerReport() {
        NodeReports reports = NodeReports.create();
        List<List<RunnerUsage>> usages = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            usages.add(usages());
        }
        List<ModelDemand> demands = List.of(new ModelDemand("s", anyModel(), 0, 2, 0, 500));
        return microsPerRound(round -> {
            String node = "n" + round % nodes;
            reports.update(node, usages.get((round * 7) % nodes), demands, System.nanoTime());
            reports.loadsExcept(node, System.nanoTime());
        });
    }

    /** Returns the time of one round, in microseconds. */
    private static double microsPerRound(IntConsumer round) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            round.accept(i);
        }
        long startNanos = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
            round.accept(i);
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / ROUNDS;
    }

    private void print() {
        ServiceState state = state();
        System.out.printf(
                "nodes %d runners %d models %d: report %.0f us, model plan %.0f us, adapter plan %.0f us%n",
                nodes,
                runners.size(),
                models.size(),
                microsPerReport(),
                microsPerRound(round -> ModelPolicy.plan(state)),
                microsPerRound(round -> AdapterPolicy.plan(state)));
    }

    /**
     * Runs the benchmark.
     *
     * @param args none
     */
    public static void main(String[] args) {
        new PlannerBenchmark(30, 20, 50).print();
        new PlannerBenchmark(95, 56, 149).print();
        new PlannerBenchmark(370, 840, 160).print();
    }
}
