package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Runs {@link ModelPolicy} in simulated time on runners that hold few of the requested models: frequent models, of
 * which some are requested at a time, and rare ones that may wait longer. Random numbers have a fixed seed.
 */
final class LoadShortageModel {
    /** Length of one step, that of the planner's cycle. */
    private static final long STEP_MS = 30;
    /** Time from the end of an unload to the load that follows. */
    private static final long UNLOAD_MS = 60;

    private static final long RECENT_LOAD_MS = 1_000;
    private static final double RATE_WINDOW_MS = 5_000;
    /** Time from the unload of a model to its load within which the load counts as a swap back. */
    private static final long SWAP_BACK_MS = 5_000;

    private static final double MS_PER_SECOND = 1_000;

    private final Workload workload;
    private final long warmUpMs;
    private final Random random;
    private final Random runRandom = new Random(12);
    private final Engine engine;
    private final List<Group> groups;
    private final List<SimRunner> runners = new ArrayList<>();
    private final Map<String, Deque<Long>> waiting = new TreeMap<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final Map<String, Group> groupOf = new HashMap<>();
    private final UnmetDemandTracker unmetDemand = new UnmetDemandTracker();
    private final Map<String, Long> unloadedMs = new HashMap<>();
    private long nowMs;
    private final Map<String, Integer> loadsByCause = new TreeMap<>();
    private int loads;
    private int drainingLoads;
    private int reloads;
    private int peakStoreLoads;

    /**
     * Requests of one kind.
     *
     * @param prefix prefix of the names of its models
     * @param models number of models
     * @param activeModels number of models that are requested at a time
     * @param perSecond requests a second for all of them together
     * @param targetMs target latency
     * @param limitMs time after which a request that waits is refused
     */
    record Group(String prefix, int models, int activeModels, double perSecond, long targetMs, long limitMs) {}

    /** Runners and requests of one deployment; times in milliseconds. */
    record Workload(
            int runners,
            int slots,
            double memoryMb,
            double smallMb,
            double largeMb,
            int memoryCopies,
            int diskCopies,
            long memoryLoadMs,
            long diskLoadMs,
            long storeLoadMs,
            int fullSpeedStoreLoads,
            long runMs,
            List<Group> groups) {}

    /** What became of the requests of one kind after the warm-up. */
    static final class Outcome {
        private int arrived;
        private int inTarget;
        private int refused;
        private double waitedMs;

        double inTargetShare() {
            return (double) inTarget / Math.max(1, arrived);
        }

        double refusedShare() {
            return (double) refused / Math.max(1, arrived);
        }

        double meanWaitMs() {
            return waitedMs / Math.max(1, arrived);
        }

        @Override
        public String toString() {
            return "%d requests: %.3f within target, %.3f refused, mean wait %.0f ms"
                    .formatted(arrived, inTargetShare(), refusedShare(), meanWaitMs());
        }
    }

    private final StoreConcurrency storeConcurrency = new StoreConcurrency();
    private final Map<String, Outcome> outcomes = new TreeMap<>();

    private static final class SimRunner {
        private final String id;
        private final Map<String, Long> loadedMs = new HashMap<>();
        private final Set<String> memory = new LinkedHashSet<>();
        private final Set<String> disk = new LinkedHashSet<>();
        private final List<Run> runs = new ArrayList<>();
        private final Deque<String> unloading = new ArrayDeque<>();
        private Optional<String> loading = Optional.empty();
        private boolean loadStarted;
        private boolean fromStore;
        private StoreConcurrency.Load storeLoad;
        private double loadLeftMs;

        SimRunner(String id) {
            this.id = id;
        }

        long runsOf(String model) {
            return runs.stream().filter(run -> run.model().equals(model)).count();
        }
    }

    private record Run(String model, long endMs) {}

    /**
     * Creates a model whose runners hold the first models of their disks.
     *
     * @param workload runners and requests
     * @param warmUpMs simulated time after which requests and loads are counted
     * @param seed seed of the arrivals
     */
    LoadShortageModel(Workload workload, long warmUpMs, long seed) {
        this.workload = workload;
        this.warmUpMs = warmUpMs;
        this.random = new Random(seed);
        this.groups = workload.groups();
        Map<String, Model> models = new HashMap<>();
        for (Group group : groups) {
            outcomes.put(group.prefix(), new Outcome());
            for (int i = 0; i < group.models(); i++) {
                String name = group.prefix() + i;
                double mb = i % 2 == 0 ? workload.smallMb() : workload.largeMb();
                models.put(
                        name,
                        new Model(name, mb, workload.storeLoadMs(), workload.diskLoadMs(), workload.memoryLoadMs(), 0));
                groupOf.put(name, group);
                waiting.put(name, new ArrayDeque<>());
            }
        }
        engine = new Engine(workload.slots(), 1_000_000, workload.memoryMb(), 0, 24, models);
        for (int i = 0; i < workload.runners(); i++) {
            runners.add(new SimRunner("r" + i));
        }
        placeCopies(new ArrayList<>(new TreeMap<>(models).keySet()));
    }

    /** Puts each model on the disks of two or three runners, as many as fit, and fills the memory of the runners. */
    private void placeCopies(List<String> names) {
        int copies = workload.runners() * workload.diskCopies();
        for (int i = 0; i < copies; i++) {
            SimRunner runner = runners.get((i * 7 + i / workload.runners()) % workload.runners());
            runner.disk.add(names.get(i % names.size()));
        }
        for (SimRunner runner : runners) {
            double freeMb = workload.memoryMb();
            for (String model : runner.disk) {
                double mb = engine.models().get(model).weightsMb();
                if (mb <= freeMb) {
                    runner.loadedMs.put(model, -RECENT_LOAD_MS);
                    freeMb -= mb;
                }
            }
        }
    }

    /** Runs until a simulated time and returns the outcome by the prefix of the group. */
    Map<String, Outcome> run(long durationMs) {
        for (nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
            addArrivals();
            advanceRunners();
            serveWaiting();
            ModelPolicy.plan(state()).forEach(this::execute);
        }
        return outcomes;
    }

    private void addArrivals() {
        rates.replaceAll((model, rate) -> rate * Math.exp(-STEP_MS / RATE_WINDOW_MS));
        for (Group group : groups) {
            int first = (int) (nowMs / 20_000) * group.activeModels() / 4;
            double expected = group.perSecond() * STEP_MS / MS_PER_SECOND;
            int count = poisson(expected);
            for (int i = 0; i < count; i++) {
                double skewed = Math.pow(random.nextDouble(), group.activeModels() < 40 ? 1.3 : 1);
                String model = group.prefix() + (first + (int) (skewed * group.activeModels())) % group.models();
                rates.merge(model, MS_PER_SECOND / RATE_WINDOW_MS, Double::sum);
                waiting.get(model).add(nowMs);
                outcomes.get(group.prefix()).arrived += counts(nowMs) ? 1 : 0;
            }
        }
    }

    private int poisson(double expected) {
        double limit = Math.exp(-expected);
        int count = 0;
        for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private boolean counts(long arrivedMs) {
        return arrivedMs >= warmUpMs;
    }

    private void advanceRunners() {
        long storeLoads = runners.stream()
                .filter(runner -> runner.loadStarted && runner.fromStore)
                .count();
        peakStoreLoads = counts(nowMs) ? Math.max(peakStoreLoads, (int) storeLoads) : 0;
        double storeSpeed = Math.min(1, (double) workload.fullSpeedStoreLoads() / Math.max(1, storeLoads));
        for (SimRunner runner : runners) {
            runner.runs.removeIf(run -> run.endMs() <= nowMs);
            while (!runner.unloading.isEmpty() && runner.runsOf(runner.unloading.peek()) == 0) {
                runner.unloading.remove();
                runner.loadLeftMs += UNLOAD_MS;
            }
            if (runner.loading.isEmpty() || !runner.unloading.isEmpty()) {
                continue;
            }
            if (!runner.loadStarted && runner.fromStore) {
                runner.storeLoad = storeConcurrency.begin(workload.storeLoadMs(), TimeUnit.MILLISECONDS.toNanos(nowMs));
            }
            runner.loadStarted = true;
            runner.loadLeftMs -= STEP_MS * (runner.fromStore ? storeSpeed : 1);
            if (runner.loadLeftMs <= 0) {
                endLoad(runner, runner.loading.get());
            }
        }
    }

    private void endLoad(SimRunner runner, String model) {
        if (runner.fromStore) {
            storeConcurrency.end(runner.storeLoad, true, TimeUnit.MILLISECONDS.toNanos(nowMs));
        }
        runner.loading = Optional.empty();
        runner.loadStarted = false;
        runner.loadedMs.put(model, nowMs);
        touch(runner.memory, model, workload.memoryCopies());
        touch(runner.disk, model, workload.diskCopies());
        double heldMb = runner.loadedMs.keySet().stream()
                .mapToDouble(held -> engine.models().get(held).weightsMb())
                .sum();
        if (heldMb > workload.memoryMb()) {
            throw new AssertionError("runner " + runner.id + " holds " + runner.loadedMs.keySet());
        }
    }

    private static void touch(Set<String> copies, String model, int room) {
        copies.remove(model);
        copies.add(model);
        while (copies.size() > room) {
            copies.remove(copies.iterator().next());
        }
    }

    private void serveWaiting() {
        Map<String, List<SimRunner>> holders = new HashMap<>();
        runners.forEach(runner -> runner.loadedMs
                .keySet()
                .forEach(model -> holders.computeIfAbsent(model, ignored -> new ArrayList<>())
                        .add(runner)));
        waiting.forEach((model, queue) -> {
            while (!queue.isEmpty()) {
                Optional<SimRunner> free = holders.getOrDefault(model, List.of()).stream()
                        .filter(runner -> runner.runs.size() < workload.slots())
                        .min(Comparator.comparingInt(runner -> runner.runs.size()));
                if (free.isEmpty()) {
                    break;
                }
                long runMs = workload.runMs() / 2 + runRandom.nextLong(workload.runMs());
                free.get().runs.add(new Run(model, nowMs + runMs));
                end(model, queue.remove(), true);
            }
            while (!queue.isEmpty() && nowMs - queue.peek() > groupOf.get(model).limitMs()) {
                end(model, queue.remove(), false);
            }
        });
    }

    private void end(String model, long arrivedMs, boolean served) {
        if (!counts(arrivedMs)) {
            return;
        }
        Group group = groupOf.get(model);
        Outcome outcome = outcomes.get(group.prefix());
        long waitedMs = nowMs - arrivedMs;
        outcome.waitedMs += waitedMs;
        outcome.inTarget += served && waitedMs <= group.targetMs() ? 1 : 0;
        outcome.refused += served ? 0 : 1;
    }

    private void execute(Directive directive) {
        SimRunner runner = runners.get(Integer.parseInt(directive.runner().substring(1)));
        if (runner.loading.isPresent()) {
            throw new AssertionError("ordered while an order is in progress");
        }
        for (PlacementOrder order : directive.orders()) {
            if (order instanceof PlacementOrder.UnloadModel) {
                runner.loadedMs.remove(order.model());
                runner.unloading.add(order.model());
                unloadedMs.put(runner.id + order.model(), nowMs);
                continue;
            }
            String model = order.model();
            LoadSource source = LoadSource.of(model, runner.memory, runner.disk);
            runner.loading = Optional.of(model);
            runner.fromStore = source == LoadSource.STORE;
            runner.loadLeftMs = source.loadMs(engine.models().get(model));
            if (counts(nowMs)) {
                loads++;
                loadsByCause.merge(
                        groupOf.get(model).prefix() + " " + directive.reason() + " " + source, 1, Integer::sum);
                boolean drains = directive.orders().stream().anyMatch(planned -> runner.runsOf(planned.model()) > 0);
                drainingLoads += drains ? 1 : 0;
                reloads += nowMs - unloadedMs.getOrDefault(runner.id + model, -SWAP_BACK_MS) < SWAP_BACK_MS ? 1 : 0;
            }
        }
    }

    private ServiceState state() {
        List<FleetDemand> demands = new ArrayList<>();
        waiting.forEach((model, queue) -> {
            double rate = rates.getOrDefault(model, 0.0);
            long oldestMs = queue.isEmpty() ? 0 : nowMs - queue.peek();
            long targetMs = queue.isEmpty() ? 0 : groupOf.get(model).targetMs();
            demands.add(new FleetDemand(new ModelRef(model, ""), queue.size(), oldestMs, targetMs, rate));
        });
        int storeLoads = (int) runners.stream()
                .filter(runner -> runner.loading.isPresent() && runner.fromStore)
                .count();
        ServiceState observed = new ServiceState(
                engine,
                runners.stream().map(this::state).toList(),
                demands,
                Map.of(),
                storeLoads,
                true,
                storeConcurrency.limits(TimeUnit.MILLISECONDS.toNanos(nowMs)),
                true);
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
        unmetDemand.observe("s", observed, nowNanos);
        return observed.withUnmet(unmetDemand.durationsMs("s", nowNanos));
    }

    private RunnerState state(SimRunner runner) {
        Map<String, HeldModel> held = new HashMap<>();
        Set<String> recent = new HashSet<>();
        runner.loadedMs.forEach((model, loadedAtMs) -> {
            held.put(model, new HeldModel(model, 1, Set.of()));
            if (nowMs - loadedAtMs < RECENT_LOAD_MS) {
                recent.add(model);
            }
        });
        Map<ModelRef, Integer> requests = new HashMap<>();
        runner.runs.forEach(run -> requests.merge(new ModelRef(run.model(), ""), 1, Integer::sum));
        return new RunnerState(
                runner.id,
                "z",
                "v",
                true,
                runner.loading.isEmpty(),
                false,
                0,
                held,
                recent,
                runner.loading,
                Set.of(),
                Set.of(),
                Set.copyOf(runner.memory),
                Set.copyOf(runner.disk),
                RequestCounts.of(requests),
                workload.slots());
    }

    private Map<String, Integer> replicas() {
        Map<String, Integer> replicas = new TreeMap<>();
        runners.forEach(runner -> runner.loadedMs
                .keySet()
                .forEach(model -> replicas.merge(groupOf.get(model).prefix(), 1, Integer::sum)));
        return replicas;
    }

    /** Returns the loads of models that the same runner had unloaded within 5 s. */
    int reloads() {
        return reloads;
    }

    int loads() {
        return loads;
    }

    @Override
    public String toString() {
        return outcomes + ", loads " + loads + ", of which reloads within 5 s " + reloads + ", behind requests "
                + drainingLoads + ", peak store loads " + peakStoreLoads + ", limits "
                + storeConcurrency.limits(TimeUnit.MILLISECONDS.toNanos(nowMs))
                + ", by cause " + loadsByCause
                + ", replicas " + replicas();
    }

    /** Returns the workload of deployment A: short loads, runners with room for two to five models. */
    static Workload deploymentA() {
        return new Workload(
                78,
                12,
                83_000,
                16_100,
                34_300,
                2,
                8,
                330,
                430,
                10_200,
                2,
                1_500,
                List.of(
                        new Group("frequent", 91, 37, 196, 402, 10_000),
                        new Group("rare", 174, 174, 66, 4_000, 17_000)));
    }

    /** Returns the workload of deployment B: long loads, runners with room for three models. */
    static Workload deploymentB() {
        return new Workload(
                42,
                24,
                230_000,
                65_100,
                72_700,
                2,
                11,
                600,
                1_250,
                13_200,
                1,
                1_500,
                List.of(
                        new Group("frequent", 20, 20, 221, 302, 8_000),
                        new Group("rare", 171, 171, 34, 3_000, 25_000)));
    }

    /**
     * Prints the outcome for both deployments, 100 s of warm-up not counted.
     *
     * @param args simulated seconds, and the seed
     */
    public static void main(String[] args) {
        long warmUpMs = TimeUnit.SECONDS.toMillis(100);
        long seconds = args.length > 0 ? Long.parseLong(args[0]) : 220;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 11;
        for (Workload workload : List.of(deploymentA(), deploymentB())) {
            LoadShortageModel model = new LoadShortageModel(workload, warmUpMs, seed);
            model.run(TimeUnit.SECONDS.toMillis(seconds));
            System.out.println(workload.runners() + " runners, seed " + seed + ": " + model);
        }
    }
}
