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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

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

    /** Time after which a status shows the end of a load. */
    private static final long STATUS_LAG_MS = 150;

    private static final double ADAPTER_MB = 50;
    /** Time for which the load of an adapter occupies a runner. */
    private static final long ADAPTER_LOAD_MS = 30;
    /** Time for which the unload of an adapter occupies a runner, with the status that shows its end. */
    private static final long ADAPTER_UNLOAD_MS = 150;

    private static final double MS_PER_SECOND = 1_000;

    private final ShortageWorkload workload;
    private final long warmUpMs;
    private final Random random;
    private final Random runRandom = new Random(12);
    private final Engine engine;
    private final List<ShortageWorkload.Group> groups;
    private final List<ShortageRunner> runners = new ArrayList<>();
    private final Map<ModelRef, Deque<Long>> waiting = new LinkedHashMap<>();
    private final Map<ModelRef, Double> rates = new HashMap<>();
    private final Map<String, ShortageWorkload.Group> groupOf = new HashMap<>();
    private final UnmetDemandTracker unmetDemand = new UnmetDemandTracker();
    private final Map<String, Long> unloadedMs = new HashMap<>();
    private long nowMs;
    private final Map<String, Integer> loadsByCause = new TreeMap<>();
    private int loads;
    private int drainingLoads;
    private int reloads;
    private int peakStoreLoads;
    private long blockedMs;
    private long drainingMs;

    private final StoreConcurrency storeConcurrency = new StoreConcurrency();
    private final Map<String, ShortageOutcome> outcomes = new TreeMap<>();

    /**
     * Creates a model whose runners hold the first models of their disks.
     *
     * @param workload runners and requests
     * @param warmUpMs simulated time after which requests and loads are counted
     * @param seed seed of the arrivals
     */
    LoadShortageModel(ShortageWorkload workload, long warmUpMs, long seed) {
        this.workload = workload;
        this.warmUpMs = warmUpMs;
        this.random = new Random(seed);
        this.groups = workload.groups();
        Map<String, Model> models = new HashMap<>();
        for (ShortageWorkload.Group group : groups) {
            outcomes.put(group.prefix(), new ShortageOutcome());
            for (int i = 0; i < group.models(); i++) {
                String name = group.prefix() + i;
                double mb = i % 2 == 0 ? workload.smallMb() : workload.largeMb();
                models.put(
                        name,
                        new Model(
                                name,
                                mb,
                                workload.storeLoadMs(),
                                workload.diskLoadMs(),
                                workload.memoryLoadMs(),
                                ADAPTER_MB));
                groupOf.put(name, group);
                for (int adapter = 0; adapter < Math.max(1, group.adapters()); adapter++) {
                    waiting.put(reference(group, name, adapter), new ArrayDeque<>());
                }
            }
        }
        engine = new Engine(workload.slots(), 1_000_000, workload.memoryMb(), workload.adapterSlots(), 24, models);
        for (int i = 0; i < workload.runners(); i++) {
            runners.add(new ShortageRunner("r" + i, i % 3 == 2 ? workload.slowLoads() : 1));
        }
        placeCopies(new ArrayList<>(new TreeMap<>(models).keySet()));
    }

    private static ModelRef reference(ShortageWorkload.Group group, String model, int adapter) {
        return new ModelRef(model, group.adapters() == 0 ? "" : "a" + adapter);
    }

    /** Puts each model on the disks of two or three runners, as many as fit, and fills the memory of the runners. */
    private void placeCopies(List<String> names) {
        int copies = workload.runners() * workload.diskCopies();
        for (int i = 0; i < copies; i++) {
            ShortageRunner runner = runners.get((i * 7 + i / workload.runners()) % workload.runners());
            runner.disk.add(names.get(i % names.size()));
        }
        for (ShortageRunner runner : runners) {
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
    Map<String, ShortageOutcome> run(long durationMs) {
        for (nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
            addArrivals();
            replaceRunner();
            advanceRunners();
            serveWaiting();
            ServiceState state = state();
            List<Directive> directives = new ArrayList<>(ModelPolicy.plan(state));
            Set<String> ordered = directives.stream().map(Directive::runner).collect(Collectors.toSet());
            AdapterPolicy.plan(state).stream()
                    .filter(directive -> !ordered.contains(directive.runner()))
                    .forEach(directives::add);
            directives.forEach(this::execute);
        }
        return outcomes;
    }

    private void addArrivals() {
        rates.replaceAll((model, rate) -> rate * Math.exp(-STEP_MS / RATE_WINDOW_MS));
        for (ShortageWorkload.Group group : groups) {
            int first = (int) (nowMs / 20_000) * group.activeModels() / 4;
            double expected = group.perSecond() * STEP_MS / MS_PER_SECOND;
            int count = poisson(expected);
            for (int i = 0; i < count; i++) {
                double skewed = Math.pow(random.nextDouble(), group.activeModels() < 40 ? 1.3 : 1);
                String model = group.prefix() + (first + (int) (skewed * group.activeModels())) % group.models();
                int adapter = group.adapters() == 0 ? 0 : random.nextInt(group.adapters());
                ModelRef reference = reference(group, model, adapter);
                rates.merge(reference, MS_PER_SECOND / RATE_WINDOW_MS, Double::sum);
                waiting.get(reference).add(nowMs);
                if (counts(nowMs)) {
                    outcomes.get(group.prefix()).countArrival();
                }
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

    /** Replaces a runner by one without models and copies, if one is due; its requests are lost. */
    private void replaceRunner() {
        if (workload.replaceMs() == 0 || nowMs % workload.replaceMs() >= STEP_MS) {
            return;
        }
        ShortageRunner replaced = runners.get((int) (nowMs / workload.replaceMs() * 5 % runners.size()));
        if (replaced.idle()) {
            replaced.loadedMs.clear();
            replaced.adapters.clear();
            replaced.memory.clear();
            replaced.disk.clear();
            replaced.runs.clear();
        }
    }

    private void advanceRunners() {
        long storeLoads = runners.stream()
                .filter(runner -> runner.loadStarted && runner.fromStore)
                .count();
        peakStoreLoads = counts(nowMs) ? Math.max(peakStoreLoads, (int) storeLoads) : 0;
        double storeSpeed = Math.min(1, (double) workload.fullSpeedStoreLoads() / Math.max(1, storeLoads));
        for (ShortageRunner runner : runners) {
            runner.runs.removeIf(run -> run.endMs() <= nowMs);
            runner.adapterOrderMs = Math.max(0, runner.adapterOrderMs - STEP_MS);
            if (counts(nowMs) && !runner.idle()) {
                blockedMs += STEP_MS;
                drainingMs += runner.unloading.isEmpty() || runner.runsOf(runner.unloading.peek()) == 0 ? 0 : STEP_MS;
            }
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
            runner.loadLeftMs -= STEP_MS * (runner.fromStore ? storeSpeed / runner.slowLoads : 1);
            if (runner.loadLeftMs <= 0) {
                endLoad(runner, runner.loading.get());
            }
        }
    }

    private void endLoad(ShortageRunner runner, String model) {
        if (runner.fromStore) {
            storeConcurrency.end(runner.storeLoad, true, TimeUnit.MILLISECONDS.toNanos(nowMs + STATUS_LAG_MS));
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
        Map<String, List<ShortageRunner>> holders = new HashMap<>();
        runners.forEach(runner -> runner.loadedMs
                .keySet()
                .forEach(model -> holders.computeIfAbsent(model, ignored -> new ArrayList<>())
                        .add(runner)));
        waiting.forEach((reference, queue) -> {
            while (!queue.isEmpty()) {
                Optional<ShortageRunner> free = holders.getOrDefault(reference.model(), List.of()).stream()
                        .filter(runner -> runner.serves(reference) && runner.runs.size() < workload.slots())
                        .min(Comparator.comparingInt(runner -> runner.runs.size()));
                if (free.isEmpty()) {
                    break;
                }
                long runMs = workload.runMs() / 2 + runRandom.nextLong(workload.runMs());
                free.get().runs.add(new ShortageRunner.Run(reference, nowMs + runMs));
                end(reference, queue.remove(), true);
            }
            ShortageWorkload.Group group = groupOf.get(reference.model());
            while (!queue.isEmpty() && nowMs - queue.peek() > group.limitMs()) {
                end(reference, queue.remove(), false);
            }
        });
    }

    private void end(ModelRef reference, long arrivedMs, boolean served) {
        if (counts(arrivedMs)) {
            ShortageWorkload.Group group = groupOf.get(reference.model());
            outcomes.get(group.prefix()).countEnd(nowMs - arrivedMs, group.targetMs(), served);
        }
    }

    private void execute(Directive directive) {
        ShortageRunner runner = runners.get(Integer.parseInt(directive.runner().substring(1)));
        if (!runner.idle()) {
            throw new AssertionError("ordered while an order is in progress");
        }
        for (PlacementOrder order : directive.orders()) {
            if (order instanceof PlacementOrder.LoadAdapter load) {
                runner.adapters.add(new ModelRef(load.model(), load.adapter()));
                runner.adapterOrderMs += ADAPTER_LOAD_MS;
                continue;
            }
            if (order instanceof PlacementOrder.UnloadAdapter unload) {
                runner.adapters.remove(new ModelRef(unload.model(), unload.adapter()));
                runner.adapterOrderMs += ADAPTER_UNLOAD_MS;
                continue;
            }
            if (order instanceof PlacementOrder.UnloadModel) {
                runner.loadedMs.remove(order.model());
                runner.adapters.removeIf(adapter -> adapter.model().equals(order.model()));
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
                boolean drains = directive.orders().stream()
                        .anyMatch(planned ->
                                planned instanceof PlacementOrder.UnloadModel && runner.runsOf(planned.model()) > 0);
                drainingLoads += drains ? 1 : 0;
                reloads += nowMs - unloadedMs.getOrDefault(runner.id + model, -SWAP_BACK_MS) < SWAP_BACK_MS ? 1 : 0;
            }
        }
    }

    private ServiceState state() {
        List<FleetDemand> demands = new ArrayList<>();
        waiting.forEach((reference, queue) -> {
            double rate = rates.getOrDefault(reference, 0.0);
            long oldestMs = queue.isEmpty() ? 0 : nowMs - queue.peek();
            long targetMs = queue.isEmpty() ? 0 : groupOf.get(reference.model()).targetMs();
            demands.add(new FleetDemand(reference, queue.size(), oldestMs, targetMs, rate));
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

    private RunnerState state(ShortageRunner runner) {
        Map<String, HeldModel> held = new HashMap<>();
        Set<String> recent = new HashSet<>();
        runner.loadedMs.forEach((model, loadedAtMs) -> {
            Set<String> adapters = runner.adapters.stream()
                    .filter(adapter -> adapter.model().equals(model))
                    .map(ModelRef::adapter)
                    .collect(Collectors.toSet());
            held.put(model, new HeldModel(model, 1, adapters));
            if (nowMs - loadedAtMs < RECENT_LOAD_MS) {
                recent.add(model);
            }
        });
        Map<ModelRef, Integer> requests = new HashMap<>();
        runner.runs.forEach(run -> requests.merge(run.reference(), 1, Integer::sum));
        return new RunnerState(
                runner.id,
                "z",
                "v",
                true,
                runner.idle(),
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

    /** Returns the share of the runners' time in which an order that is in progress keeps them from taking others. */
    double blockedShare() {
        return (double) blockedMs / runners.size() / Math.max(1, nowMs - warmUpMs);
    }

    /** Returns the share of the runners' time in which an unload waits for requests of its model to end. */
    double drainingShare() {
        return (double) drainingMs / runners.size() / Math.max(1, nowMs - warmUpMs);
    }

    @Override
    public String toString() {
        return outcomes + ", blocked %.3f, of which behind requests %.3f".formatted(blockedShare(), drainingShare())
                + ", loads " + loads + ", of which reloads within 5 s " + reloads + ", behind requests "
                + drainingLoads + ", peak store loads " + peakStoreLoads + ", limits "
                + storeConcurrency.limits(TimeUnit.MILLISECONDS.toNanos(nowMs))
                + ", by cause " + loadsByCause
                + ", replicas " + replicas();
    }
}
