package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which runners hold which models, for workloads with many models of which most are requested rarely. A model
 * that requests wait for replaces the models that are cheapest to load again, a model whose runners are crowded gets
 * another replica, and models without a local copy on any runner are preloaded. The plan depends only on the given
 * state.
 */
final class ModelPolicy {
    /** Shortest wait for a busy runner with a local copy before the model is loaded from the weight store elsewhere. */
    private static final long MIN_WAIT_FOR_COPY_MS = 5_000;
    /** Share of the duration of a load from the weight store for which a busy runner with a local copy is awaited. */
    private static final double WAIT_FOR_COPY_SHARE = 0.5;

    private static final double MS_PER_SECOND = 1_000;
    /** Urgency that a model gains for each second of unmet demand, so that it is not starved. */
    private static final double URGENCY_PER_UNMET_SECOND = 0.15;
    /** Weight of requests that can no longer meet their latency target. */
    private static final double LATE_REQUEST_WEIGHT = 0.3;
    /** Cost of a load on a fully utilised runner. */
    private static final double FULL_RUNNER_COST_MS = 1_500;

    private final ServiceState state;
    private final Map<String, FleetDemand> demands;
    private final ServiceIndex index;
    /** Models of each runner that may be evicted, cheapest first, until the next directive changes the costs. */
    private final Map<String, List<String>> evictionOrders = new HashMap<>();

    private final Set<String> assignedRunners = new HashSet<>();
    private final EvictionRules rules;
    private final List<Directive> directives = new ArrayList<>();
    private int storeLoads;

    /** Way to load a model on a runner: the models to evict first and the total cost. */
    private record LoadOption(RunnerState runner, List<String> victims, double costMs) {}

    private ModelPolicy(ServiceState state) {
        this.state = state;
        this.demands = ServiceAggregates.demandByModel(state);
        this.storeLoads = state.storeLoads();
        this.index = ServiceIndex.of(state);
        this.rules = new EvictionRules(state.engine(), demands, index, assignedRunners);
    }

    /**
     * Plans model loads and the evictions that they require.
     *
     * @param state runners and demand of a service
     * @return the directives, at most one for each runner
     */
    static List<Directive> plan(ServiceState state) {
        ModelPolicy policy = new ModelPolicy(state);
        policy.planNeededReplicas();
        if (state.runnersStable()) {
            policy.planPreloads();
        }
        return policy.directives;
    }

    private Engine engine() {
        return state.engine();
    }

    private void planNeededReplicas() {
        ServiceAggregates.demandByModelAndVersion(state).stream()
                .filter(demand -> engine().models().containsKey(demand.model().model()))
                .map(this::replicaNeed)
                .flatMap(Optional::stream)
                .sorted(Comparator.comparing(ReplicaNeed::anyRunner)
                        .thenComparing(
                                Comparator.comparingDouble(ReplicaNeed::urgency).reversed()))
                .forEach(this::planReplica);
    }

    /**
     * Returns the need of a model for another replica, empty if a load is in progress or the existing replicas suffice.
     */
    private Optional<ReplicaNeed> replicaNeed(FleetDemand demand) {
        if (index.isLoading(demand)) {
            return Optional.empty();
        }
        List<RunnerState> holders = index.holders(demand);
        if (holders.isEmpty()) {
            return demand.waiting() > 0
                    ? Optional.of(new ReplicaNeed(demand, true, rules.isUrgent(demand), coldUrgency(demand)))
                    : Optional.empty();
        }
        boolean crowded = holders.stream().allMatch(runner -> runner.utilisation() > RunnerState.CROWDED_UTILISATION);
        double urgency = demand.waiting() + demand.perSecond();
        return crowded
                ? Optional.of(new ReplicaNeed(demand, false, rules.needsReplica(demand), urgency))
                : Optional.empty();
    }

    /**
     * Returns the urgency of loading a model that no runner holds. Requests that can still meet their latency target
     * count more than late ones, and the urgency grows with the time for which the demand has been unmet.
     */
    private double coldUrgency(FleetDemand demand) {
        double waiting = demand.isLate() ? LATE_REQUEST_WEIGHT * demand.waiting() : demand.waiting();
        double unmetSeconds = state.unmetMs().getOrDefault(demand.model().model(), 0L) / MS_PER_SECOND;
        return waiting + demand.perSecond() + URGENCY_PER_UNMET_SECOND * unmetSeconds;
    }

    private void planReplica(ReplicaNeed need) {
        String model = need.demand().model().model();
        state.runners().stream()
                .filter(runner -> need.demand().allows(runner) && canLoad(runner, model))
                .map(runner -> loadOption(runner, model, victim -> rules.mayEvict(runner, victim, need)))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(LoadOption::costMs))
                .filter(option -> option.runner().hasLocalCopy(model) || !shouldWaitForCopy(need))
                .ifPresent(option -> addDirective(model, option, need.cold() ? "waiting" : "crowded"));
    }

    /**
     * Returns whether to wait for a runner that has a local copy and is busy, since loading from its copy is expected
     * to be faster than a load from the weight store.
     */
    private boolean shouldWaitForCopy(ReplicaNeed need) {
        String model = need.demand().model().model();
        boolean hasCopy = state.runners().stream()
                .filter(runner -> need.demand().allows(runner))
                .anyMatch(runner -> !runner.leaving() && !runner.holds(model) && runner.hasLocalCopy(model));
        double storeLoadMs = engine().models().get(model).storeLoadMs() * storeSlowdown();
        return hasCopy
                && need.demand().oldestWaitMs() < Math.max(MIN_WAIT_FOR_COPY_MS, WAIT_FOR_COPY_SHARE * storeLoadMs);
    }

    /** Returns whether a model order may be sent to a runner now. */
    private boolean canLoad(RunnerState runner, String model) {
        return runner.stateKnown()
                && runner.idle()
                && !runner.leaving()
                && !assignedRunners.contains(runner.id())
                && !runner.holds(model);
    }

    /**
     * Returns the cheapest way to load a model on a runner, empty if not enough memory can be freed.
     *
     * @param runner runner that loads the model
     * @param model name of the model
     * @param mayEvict whether a model of the runner may be evicted for it
     */
    private Optional<LoadOption> loadOption(RunnerState runner, String model, Predicate<String> mayEvict) {
        Model wantedModel = engine().models().get(model);
        Optional<List<String>> victims = victims(runner, wantedModel.weightsMb(), mayEvict);
        if (victims.isEmpty()) {
            return Optional.empty();
        }
        double loadMs = loadMs(runner, wantedModel);
        boolean drainsRequests = victims.get().stream().anyMatch(victim -> runner.requestsOf(victim) > 0);
        double orderMs = drainsRequests ? loadMs + EvictionRules.IN_USE_COST_MS : loadMs;
        double cost = loadMs
                + FULL_RUNNER_COST_MS * runner.utilisation()
                + blockingCost(runner, orderMs)
                + victims.get().stream()
                        .mapToDouble(victim -> rules.evictionCost(runner, victim))
                        .sum();
        return Optional.of(new LoadOption(runner, victims.get(), cost));
    }

    /** Returns the cheapest models to evict to free memory for a load, empty if not enough can be freed. */
    private Optional<List<String>> victims(RunnerState runner, double weightsMb, Predicate<String> mayEvict) {
        double missingMb = weightsMb - index.freeMb(runner);
        List<String> victims = new ArrayList<>();
        for (String victim : evictionOrders.computeIfAbsent(runner.id(), id -> evictionOrder(runner))) {
            if (missingMb > 0 && mayEvict.test(victim)) {
                victims.add(victim);
                missingMb -= weightsMb(victim);
            }
        }
        if (missingMb > 0) {
            return Optional.empty();
        }
        return Optional.of(withoutUnneeded(victims, missingMb));
    }

    private List<String> evictionOrder(RunnerState runner) {
        return runner.models().keySet().stream()
                .filter(held -> engine().models().containsKey(held)
                        && !runner.recentlyLoaded().contains(held))
                .sorted(Comparator.comparingDouble(held -> rules.evictionCost(runner, held)))
                .toList();
    }

    /** Removes victims that need not be evicted because a larger one frees enough memory, cheapest first. */
    private List<String> withoutUnneeded(List<String> victims, double missingMb) {
        List<String> neededVictims = new ArrayList<>(victims);
        double spareMb = -missingMb;
        for (String victim : victims) {
            if (neededVictims.size() > 1 && weightsMb(victim) <= spareMb) {
                neededVictims.remove(victim);
                spareMb -= weightsMb(victim);
            }
        }
        return neededVictims;
    }

    private double weightsMb(String model) {
        return engine().models().get(model).weightsMb();
    }

    /** Returns the estimated duration of a load, longer while the weight store serves many loads. */
    private double loadMs(RunnerState runner, Model model) {
        LoadSource source = LoadSource.of(model.name(), runner.inMemory(), runner.onDisk());
        return source.loadMs(model) * (source == LoadSource.STORE ? storeSlowdown() : 1);
    }

    /** Returns the factor by which another load from the weight store takes longer because of those in progress. */
    private double storeSlowdown() {
        return Math.max(1, (storeLoads + 1.0) / state.storeLimits().loads());
    }

    /** Returns the cost of blocking adapter orders on a runner while it loads a model for the given time. */
    private double blockingCost(RunnerState runner, double orderMs) {
        return index.adapterRate(runner) * orderMs * orderMs / MS_PER_SECOND;
    }

    /** Adds the directive for a load, unless the limits of the weight store forbid it. */
    private void addDirective(String model, LoadOption option, String reason) {
        RunnerState runner = option.runner();
        boolean fromStore = !runner.hasLocalCopy(model);
        boolean highDemand =
                demands.containsKey(model) && demands.get(model).perSecond() > EvictionRules.BUSY_RATE_PER_SECOND;
        int maxLoads = highDemand
                ? state.storeLimits().urgentLoads()
                : state.storeLimits().loads();
        if (fromStore && (!state.storeLoadAllowed() || storeLoads >= maxLoads)) {
            return;
        }
        storeLoads += fromStore ? 1 : 0;
        List<PlacementOrder> orders = new ArrayList<>();
        option.victims().forEach(victim -> orders.add(new PlacementOrder.UnloadModel(victim)));
        orders.add(new PlacementOrder.LoadModel(model));
        assignedRunners.add(runner.id());
        evictionOrders.clear();
        directives.add(new Directive(runner.id(), runner.sequence(), orders, reason));
    }

    /**
     * Plans loads of models without a copy on any runner, into free memory or in place of idle models, a few at a time.
     */
    private void planPreloads() {
        if (storeLoads >= state.storeLimits().loads() || !state.storeLoadAllowed()) {
            return;
        }
        Set<String> available = index.availableModels();
        Map<String, Double> reclaimableMb = new HashMap<>();
        state.runners().forEach(runner -> reclaimableMb.put(runner.id(), reclaimableMb(runner)));
        List<String> missing = engine().models().keySet().stream()
                .filter(model -> !available.contains(model))
                .sorted()
                .toList();
        for (String model : missing) {
            if (storeLoads < state.storeLimits().loads()) {
                planPreload(model, reclaimableMb);
            }
        }
    }

    /** Returns the memory that a preload may use on a runner at most, free or in place of idle models, in megabytes. */
    private double reclaimableMb(RunnerState runner) {
        double idleMb = runner.models().keySet().stream()
                .filter(model -> engine().models().containsKey(model) && rules.mayEvictForPreload(runner, model))
                .mapToDouble(this::weightsMb)
                .sum();
        return index.freeMb(runner) + idleMb;
    }

    private void planPreload(String model, Map<String, Double> reclaimableMb) {
        state.runners().stream()
                .filter(runner -> reclaimableMb.get(runner.id()) >= weightsMb(model) && canLoad(runner, model))
                .map(runner -> loadOption(runner, model, victim -> rules.mayEvictForPreload(runner, victim)))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(LoadOption::costMs))
                .ifPresent(option -> addDirective(model, option, "ahead"));
    }
}
