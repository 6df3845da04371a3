package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Simulates a workload of many models, each requested rarely and at random, on runners that hold few of them: every
 * model must be served, and no runner may exceed its memory.
 */
class RareModelsTest {
    private static final int RUNNERS = 4;
    private static final int MODELS = 24;
    private static final int ROUNDS = 4_000;
    private static final double ARRIVAL_SHARE = 0.2;
    private static final int REQUEST_ROUNDS = 15;
    private final Random random = new Random(7);
    private final Engine engine = PlanningTestData.engine(
            IntStream.range(0, MODELS).mapToObj(number -> "m" + number).toArray(String[]::new));
    private final List<SimulatedRunner> runners = new ArrayList<>();
    private final Map<String, Integer> waitingRequests = new HashMap<>();
    private final Map<String, Integer> waitingSinceRound = new HashMap<>();
    private final Set<String> servedModels = new HashSet<>();

    private static final class SimulatedRunner {
        private final Set<String> heldModels = new HashSet<>();
        private final Set<String> copies = new HashSet<>();
        private final Map<String, Integer> requestsEndRound = new HashMap<>();
        private String loadingModel;
        private int loadEndRound;
    }

    @Test
    void everyModelIsServedWithoutExceedingMemory() {
        IntStream.range(0, RUNNERS).forEach(number -> runners.add(new SimulatedRunner()));
        for (int round = 0; round < ROUNDS; round++) {
            addArrivals(round);
            finishLoadsAndRequests(round);
            serveWaitingRequests(round);
            for (Directive directive : ModelPolicy.plan(state(round))) {
                execute(directive, round);
            }
        }
        assertTrue(servedModels.size() == MODELS, "served " + servedModels.size() + " of " + MODELS);
    }

    private void addArrivals(int round) {
        if (random.nextDouble() < ARRIVAL_SHARE) {
            String model = "m" + random.nextInt(MODELS);
            waitingRequests.merge(model, 1, Integer::sum);
            waitingSinceRound.putIfAbsent(model, round);
        }
    }

    private void finishLoadsAndRequests(int round) {
        for (SimulatedRunner runner : runners) {
            if (runner.loadingModel != null && runner.loadEndRound <= round) {
                runner.heldModels.add(runner.loadingModel);
                runner.copies.add(runner.loadingModel);
                runner.loadingModel = null;
                assertTrue(
                        runner.heldModels.size() * PlanningTestData.MODEL_MB <= engine.memoryMb(),
                        "holds " + runner.heldModels + " in " + engine.memoryMb() + " MB");
            }
            runner.requestsEndRound.values().removeIf(until -> until <= round);
        }
    }

    private void serveWaitingRequests(int round) {
        for (SimulatedRunner runner : runners) {
            for (String model : runner.heldModels) {
                if (waitingRequests.remove(model) != null) {
                    waitingSinceRound.remove(model);
                    servedModels.add(model);
                    runner.requestsEndRound.put(model, round + REQUEST_ROUNDS);
                }
            }
        }
    }

    private void execute(Directive directive, int round) {
        SimulatedRunner runner = runners.get(Integer.parseInt(directive.runner()));
        assertTrue(runner.loadingModel == null, "ordered while an order is in progress");
        for (PlacementOrder order : directive.orders()) {
            if (order instanceof PlacementOrder.UnloadModel unload) {
                assertTrue(
                        !waitingRequests.containsKey(unload.model()),
                        "unloads " + unload.model() + ", which requests wait for");
                runner.heldModels.remove(unload.model());
            } else {
                runner.loadingModel = order.model();
                runner.loadEndRound = round + (runner.copies.contains(order.model()) ? 10 : 60);
            }
        }
    }

    private ServiceState state(int round) {
        List<FleetDemand> demands = waitingRequests.entrySet().stream()
                .map(entry -> new FleetDemand(
                        new ModelRef(entry.getKey(), ""),
                        entry.getValue(),
                        100L * (round - waitingSinceRound.get(entry.getKey())),
                        3_000,
                        0.1))
                .toList();
        List<RunnerState> states = IntStream.range(0, RUNNERS)
                .mapToObj(number -> state(number, runners.get(number)))
                .toList();
        int storeLoads = (int) runners.stream()
                .filter(runner -> runner.loadingModel != null && !runner.copies.contains(runner.loadingModel))
                .count();
        return new ServiceState(engine, states, demands, Map.of(), storeLoads, true, true);
    }

    private static RunnerState state(int number, SimulatedRunner runner) {
        RunnerStateBuilder builder = RunnerStateBuilder.runner(Integer.toString(number));
        runner.heldModels.forEach(model -> builder.holding(PlanningTestData.heldModel(model)));
        if (runner.loadingModel != null) {
            builder.loading(runner.loadingModel);
        }
        Map<ModelRef, Integer> requestsByModel = new HashMap<>();
        runner.requestsEndRound.keySet().forEach(model -> requestsByModel.put(new ModelRef(model, ""), 1));
        return builder.copies(Set.of(), Set.copyOf(runner.copies))
                .requests(requestsByModel)
                .build();
    }
}
