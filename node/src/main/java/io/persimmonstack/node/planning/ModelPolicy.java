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

/**
 * Decides which runner holds which model, for a load of many models of which most are asked for rarely: a model that is
 * asked for replaces the ones whose next start costs least; models that fill their runners get another one; copies on
 * disks are made ahead. Pure.
 */
final class ModelPolicy {
    private static final int MAX_STORE_LOADS = 4;
    private static final double CROWDED_UTILISATION = 0.6;
    private static final int MAX_URGENT_STORE_LOADS = 6;
    private static final double BUSY_RATE_PER_SECOND = 2;
    private static final double IN_USE_COST_MS = 1_500;
    private static final double SPARE_REPLICA_COST_MS = 20;
    private static final long EVICT_IN_USE_AFTER_MS = 1_500;
    private static final long MAX_WAIT_FOR_COPY_MS = 5_000;
    private static final double LAST_REPLICA_FACTOR = 4;
    private static final double IDLE_RATE_PER_SECOND = 0.05;
    private static final double MIN_RATE_PER_SECOND = 0.01;
    private static final double WAITING_RATE_PER_SECOND = 1;
    private static final double MS_PER_SECOND = 1_000;
    private static final double URGENCY_PER_UNMET_SECOND = 0.15;
    private static final double LATE_REQUEST_WEIGHT = 0.3;
    private static final double FULL_RUNNER_COST_MS = 1_500;
    private final ServiceState state;
    private final Map<String, FleetDemand> demands;
    private final Map<String, Integer> replicas = new HashMap<>();
    private final Set<String> assignedRunners = new HashSet<>();
    private final List<Directive> directives = new ArrayList<>();
    private int storeLoads;

    /** Way to bring a model to a runner. */
    private record LoadOption(RunnerState runner, List<String> victims, double costMs) {}

    /** Model that needs one more runner. */
    private record ReplicaNeed(FleetDemand demand, boolean cold, double urgency) {}

    private ModelPolicy(ServiceState state) {
        this.state = state;
        this.demands = ServiceAggregates.demandByModel(state);
        this.storeLoads = state.storeLoads();
        state.runners().stream()
                .filter(runner -> !runner.leaving())
                .flatMap(runner -> runner.models().keySet().stream())
                .forEach(model -> replicas.merge(model, 1, Integer::sum));
    }

    /**
     * Plans.
     *
     * @param state runners and demand
     * @return orders, at most one directive for each runner
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
        demands.values().stream()
                .filter(demand -> engine().models().containsKey(demand.model().model()))
                .map(this::replicaNeed)
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(ReplicaNeed::urgency).reversed())
                .forEach(this::planReplica);
    }

    /** Returns the need of a model for one more runner, empty where those that hold or load it suffice. */
    private Optional<ReplicaNeed> replicaNeed(FleetDemand demand) {
        String model = demand.model().model();
        if (state.runners().stream().anyMatch(runner -> runner.isLoading(model))) {
            return Optional.empty();
        }
        List<RunnerState> holders = state.runners().stream()
                .filter(runner -> !runner.leaving() && runner.holds(model))
                .toList();
        if (holders.isEmpty()) {
            return demand.waiting() > 0
                    ? Optional.of(new ReplicaNeed(demand, true, coldUrgency(demand)))
                    : Optional.empty();
        }
        boolean crowded = holders.stream().allMatch(runner -> runner.utilisation() > CROWDED_UTILISATION);
        double urgency = demand.waiting() + demand.perSecond();
        return crowded ? Optional.of(new ReplicaNeed(demand, false, urgency)) : Optional.empty();
    }

    /** Requests that can still be on time go before those that are late anyway; a model asked for in vain gains. */
    private double coldUrgency(FleetDemand demand) {
        double waiting = demand.isLate() ? LATE_REQUEST_WEIGHT * demand.waiting() : demand.waiting();
        double unmetSeconds = state.unmetMs().getOrDefault(demand.model().model(), 0L) / MS_PER_SECOND;
        return waiting + demand.perSecond() + URGENCY_PER_UNMET_SECOND * unmetSeconds;
    }

    private void planReplica(ReplicaNeed need) {
        String model = need.demand().model().model();
        state.runners().stream()
                .filter(runner -> canLoad(runner, model))
                .map(runner -> loadOption(runner, model))
                .flatMap(Optional::stream)
                .filter(option -> option.victims().stream().allMatch(victim -> mayEvict(option, victim, need)))
                .min(Comparator.comparingDouble(LoadOption::costMs))
                .filter(option -> option.runner().hasLocalCopy(model) || !shouldWaitForCopy(need))
                .ifPresent(option -> addDirective(model, option, need.cold() ? "waiting" : "crowded"));
    }

    /** Returns whether a runner with a copy, busy now, will serve sooner than a load from the store would. */
    private boolean shouldWaitForCopy(ReplicaNeed need) {
        String model = need.demand().model().model();
        boolean hasCopy = state.runners().stream()
                .anyMatch(runner -> !runner.leaving() && !runner.holds(model) && runner.hasLocalCopy(model));
        return hasCopy && need.demand().oldestWaitMs() < MAX_WAIT_FOR_COPY_MS;
    }

    private boolean canLoad(RunnerState runner, String model) {
        return runner.stateKnown()
                && runner.idle()
                && !runner.leaving()
                && !assignedRunners.contains(runner.id())
                && !runner.holds(model);
    }

    private double demandRate(String model) {
        FleetDemand demand = demands.get(model);
        if (demand == null) {
            return MIN_RATE_PER_SECOND;
        }
        double waiting = demand.waiting() > 0 ? WAITING_RATE_PER_SECOND : 0;
        return Math.max(MIN_RATE_PER_SECOND, demand.perSecond() + waiting);
    }

    /** Returns the cheapest way to bring a model to a runner, empty where it cannot make room. */
    private Optional<LoadOption> loadOption(RunnerState runner, String model) {
        Model wantedModel = engine().models().get(model);
        Optional<List<String>> victims = victims(runner, wantedModel.weightsMb());
        if (victims.isEmpty()) {
            return Optional.empty();
        }
        double loadMs = loadMs(runner, wantedModel);
        boolean drainsRequests = victims.get().stream().anyMatch(victim -> runner.requestsOf(victim) > 0);
        double cost = loadMs
                + FULL_RUNNER_COST_MS * runner.utilisation()
                + blockingCost(runner, drainsRequests ? loadMs + IN_USE_COST_MS : loadMs)
                + victims.get().stream()
                        .mapToDouble(victim -> evictionCost(runner, victim))
                        .sum();
        return Optional.of(new LoadOption(runner, victims.get(), cost));
    }

    /** Returns the models that make room at the least cost, none needlessly; empty where no room can be made. */
    private Optional<List<String>> victims(RunnerState runner, double weightsMb) {
        double missingMb = weightsMb - (engine().weightsRoomMb() - ServiceAggregates.weightsMb(engine(), runner));
        List<String> byEvictionCost = runner.models().keySet().stream()
                .filter(held -> engine().models().containsKey(held)
                        && !runner.recentlyLoaded().contains(held))
                .sorted(Comparator.comparingDouble(held -> evictionCost(runner, held)))
                .toList();
        List<String> victims = new ArrayList<>();
        for (String victim : byEvictionCost) {
            if (missingMb > 0) {
                victims.add(victim);
                missingMb -= weightsMb(victim);
            }
        }
        if (missingMb > 0) {
            return Optional.empty();
        }
        return Optional.of(withoutUnneeded(victims, missingMb));
    }

    /** Drops the victims that turned out not to be needed beside a larger one, cheapest first. */
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

    private double loadMs(RunnerState runner, Model model) {
        LoadSource source = LoadSource.of(model.name(), runner.inMemory(), runner.onDisk());
        double slowdown = source == LoadSource.STORE ? (storeLoads + 1.0) / MAX_STORE_LOADS : 1;
        return source.loadMs(model) * Math.max(1, slowdown);
    }

    /** Returns what it costs that a runner takes no order for an adapter while it loads a model. */
    private double blockingCost(RunnerState runner, double orderMs) {
        double adaptersPerSecond = state.demands().stream()
                .filter(demand -> demand.model().hasAdapter())
                .filter(demand -> runner.holds(demand.model().model()))
                .mapToDouble(demand -> demand.perSecond()
                        / Math.max(1, replicas.getOrDefault(demand.model().model(), 1)))
                .sum();
        return adaptersPerSecond * orderMs * orderMs / MS_PER_SECOND;
    }

    /** Returns what unloading a model costs later callers, in milliseconds of their waiting a second. */
    private double evictionCost(RunnerState runner, String victim) {
        double inUseCost = runner.requestsOf(victim) > 0 ? IN_USE_COST_MS : 0;
        if (isSpareReplica(runner, victim)) {
            return SPARE_REPLICA_COST_MS + inUseCost;
        }
        Model model = engine().models().get(victim);
        double restartMs = runner.hasLocalCopy(victim) ? model.diskLoadMs() : model.storeLoadMs();
        double lastReplicaFactor = replicas.getOrDefault(victim, 1) <= 1 ? LAST_REPLICA_FACTOR : 1;
        return demandRate(victim) * restartMs * lastReplicaFactor + inUseCost;
    }

    /** Returns whether the other runners that hold a model can take over its requests. */
    private boolean isSpareReplica(RunnerState runner, String model) {
        List<RunnerState> others = state.runners().stream()
                .filter(other ->
                        !other.leaving() && other.holds(model) && !other.id().equals(runner.id()))
                .filter(other -> !assignedRunners.contains(other.id()))
                .toList();
        double freeSlotCount = others.stream()
                .mapToDouble(other -> CROWDED_UTILISATION * other.slots() - other.requests())
                .filter(freeSlots -> freeSlots > 0)
                .sum();
        return freeSlotCount > runner.requestsOf(model);
    }

    private void addDirective(String model, LoadOption option, String reason) {
        RunnerState runner = option.runner();
        boolean fromStore = !runner.hasLocalCopy(model);
        boolean highDemand = demands.containsKey(model) && demands.get(model).perSecond() > BUSY_RATE_PER_SECOND;
        int maxLoads = highDemand ? MAX_URGENT_STORE_LOADS : MAX_STORE_LOADS;
        if (fromStore && (!state.storeLoadAllowed() || storeLoads >= maxLoads)) {
            return;
        }
        storeLoads += fromStore ? 1 : 0;
        List<PlacementOrder> orders = new ArrayList<>();
        option.victims().forEach(victim -> orders.add(new PlacementOrder.UnloadModel(victim)));
        orders.add(new PlacementOrder.LoadModel(model));
        assignedRunners.add(runner.id());
        directives.add(new Directive(runner.id(), orders, reason));
    }

    /** Models in use make way only for requests that have waited long; none does for one that is asked for less. */
    private boolean mayEvict(LoadOption option, String victim, ReplicaNeed need) {
        boolean inUse = option.runner().requestsOf(victim) > 0;
        if (need.cold()) {
            boolean hasWaitingRequests =
                    demands.containsKey(victim) && demands.get(victim).waiting() > 0;
            boolean urgent = need.demand().oldestWaitMs() > EVICT_IN_USE_AFTER_MS
                    || need.demand().perSecond() > BUSY_RATE_PER_SECOND;
            return !hasWaitingRequests && (!inUse || urgent && demandRate(victim) < need.urgency());
        }
        int holders = replicas.getOrDefault(need.demand().model().model(), 0);
        double ratePerReplica = need.demand().perSecond() / (1 + holders);
        return !inUse && (isSpareReplica(option.runner(), victim) || demandRate(victim) < ratePerReplica / 2);
    }

    /** Brings models of which no runner has a copy to free memory or in place of idle ones, a few at a time. */
    private void planPreloads() {
        for (String model : engine().models().keySet().stream().sorted().toList()) {
            if (storeLoads >= MAX_STORE_LOADS) {
                return;
            }
            boolean hasCopy = state.runners().stream()
                    .filter(runner -> !runner.leaving())
                    .anyMatch(runner -> runner.hasLocalCopy(model) || runner.holds(model) || runner.isLoading(model));
            if (!hasCopy) {
                planPreload(model);
            }
        }
    }

    private void planPreload(String model) {
        state.runners().stream()
                .filter(runner -> canLoad(runner, model))
                .map(runner -> loadOption(runner, model))
                .flatMap(Optional::stream)
                .filter(option -> option.victims().stream().allMatch(victim -> mayEvictForPreload(option, victim)))
                .min(Comparator.comparingDouble(LoadOption::costMs))
                .ifPresent(option -> addDirective(model, option, "ahead"));
    }

    /** Returns whether a model may make way for a copy ahead: idle, and soon loaded again. */
    private boolean mayEvictForPreload(LoadOption option, String victim) {
        boolean idle = option.runner().requestsOf(victim) == 0 && demandRate(victim) < IDLE_RATE_PER_SECOND;
        boolean hasReplicas = replicas.getOrDefault(victim, 1) > 1;
        return idle && !hasReplicas && option.runner().hasLocalCopy(victim);
    }
}
