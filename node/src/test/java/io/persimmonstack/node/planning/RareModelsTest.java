package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Load pattern: many models, each asked for rarely and at random, on runners that hold a few of them. */
class RareModelsTest {
    private static final int RUNNERS = 4;
    private static final int MODELS = 24;
    private static final int ROUNDS = 4_000;
    private static final double ARRIVAL_SHARE = 0.2;
    private static final int RUN_ROUNDS = 15;
    private final Random random = new Random(7);
    private final Engine engine = Fleets.engine(
            IntStream.range(0, MODELS).mapToObj(number -> "m" + number).toArray(String[]::new));
    private final List<Simulated> runners = new ArrayList<>();
    private final Map<String, Integer> waiting = new HashMap<>();
    private final Map<String, Integer> since = new HashMap<>();
    private final Set<String> served = new HashSet<>();

    private static final class Simulated {
        private final Set<String> held = new HashSet<>();
        private final Set<String> copies = new HashSet<>();
        private final Map<String, Integer> runsUntil = new HashMap<>();
        private String coming;
        private int busyUntil;
    }

    @Test
    void eachModelIsServedAndNoRunnerIsOverfilled() {
        IntStream.range(0, RUNNERS).forEach(number -> runners.add(new Simulated()));
        for (int round = 0; round < ROUNDS; round++) {
            arrive(round);
            finish(round);
            serve(round);
            for (Directive directive : ModelPolicy.plan(state(round))) {
                carryOut(directive, round);
            }
        }
        assertTrue(served.size() == MODELS, "served " + served.size() + " of " + MODELS);
    }

    private void arrive(int round) {
        if (random.nextDouble() < ARRIVAL_SHARE) {
            String model = "m" + random.nextInt(MODELS);
            waiting.merge(model, 1, Integer::sum);
            since.putIfAbsent(model, round);
        }
    }

    private void finish(int round) {
        for (Simulated runner : runners) {
            if (runner.coming != null && runner.busyUntil <= round) {
                runner.held.add(runner.coming);
                runner.copies.add(runner.coming);
                runner.coming = null;
                assertTrue(
                        runner.held.size() * Fleets.MODEL_MB <= engine.memoryMb(),
                        "holds " + runner.held + " in " + engine.memoryMb() + " MB");
            }
            runner.runsUntil.values().removeIf(until -> until <= round);
        }
    }

    private void serve(int round) {
        for (Simulated runner : runners) {
            for (String model : runner.held) {
                if (waiting.remove(model) != null) {
                    since.remove(model);
                    served.add(model);
                    runner.runsUntil.put(model, round + RUN_ROUNDS);
                }
            }
        }
    }

    private void carryOut(Directive directive, int round) {
        Simulated runner = runners.get(Integer.parseInt(directive.runner()));
        assertTrue(runner.coming == null, "ordered while an order is in progress");
        for (PlacementOrder order : directive.orders()) {
            if (order instanceof PlacementOrder.UnloadModel unload) {
                assertTrue(!waiting.containsKey(unload.model()), "unloads " + unload.model() + ", which is awaited");
                runner.held.remove(unload.model());
            } else {
                runner.coming = order.model();
                runner.busyUntil = round + (runner.copies.contains(order.model()) ? 10 : 60);
            }
        }
    }

    private ServiceState state(int round) {
        List<DemandState> demands = waiting.entrySet().stream()
                .map(entry -> new DemandState(
                        new ModelRef(entry.getKey(), ""),
                        entry.getValue(),
                        100L * (round - since.get(entry.getKey())),
                        3_000,
                        0.1))
                .toList();
        List<RunnerState> states = IntStream.range(0, RUNNERS)
                .mapToObj(number -> state(number, runners.get(number)))
                .toList();
        int loads = (int) runners.stream()
                .filter(runner -> runner.coming != null && !runner.copies.contains(runner.coming))
                .count();
        return new ServiceState(engine, states, demands, Map.of(), loads, true, true);
    }

    private static RunnerState state(int number, Simulated runner) {
        Map<String, HeldModel> models = new HashMap<>();
        runner.held.forEach(model -> models.put(model, Fleets.held(model)));
        Map<ModelRef, Integer> uses = new HashMap<>();
        runner.runsUntil.keySet().forEach(model -> uses.put(new ModelRef(model, ""), 1));
        return new RunnerState(
                Integer.toString(number),
                "zone-a",
                true,
                runner.coming == null,
                false,
                models,
                Set.of(),
                Optional.ofNullable(runner.coming),
                Set.of(),
                Set.of(),
                Set.copyOf(runner.copies),
                uses,
                Fleets.SLOTS);
    }
}
