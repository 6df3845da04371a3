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
    private static final double CROWDED_SHARE = 0.6;
    private static final int MAX_URGENT_STORE_LOADS = 6;
    private static final double BUSY_PER_SECOND = 2;
    private static final double IN_USE_MS = 1_500;
    private static final double SPARE_REPLICA_MS = 20;
    private static final long PATIENT_MS = 1_500;
    private static final long COPY_PATIENCE_MS = 5_000;
    private static final double LAST_REPLICA_FACTOR = 4;
    private static final double IDLE_PER_SECOND = 0.05;
    private static final double LEAST_PER_SECOND = 0.01;
    private static final double WAITING_PER_SECOND = 1;
    private static final double MS_PER_SECOND = 1_000;
    private static final double UNMET_PER_SECOND = 0.15;
    private static final double LATE_SHARE = 0.3;
    private static final double LOAD_MS_OF_FULL_RUNNER = 1_500;
    private final ServiceState state;
    private final Map<String, DemandState> demands;
    private final Map<String, Integer> replicas = new HashMap<>();
    private final Set<String> taken = new HashSet<>();
    private final List<Directive> directives = new ArrayList<>();
    private int storeLoads;

    /** Way to bring a model to a runner. */
    private record Option(RunnerState runner, List<String> victims, double costMs) {}

    /** Model that needs one more runner. */
    private record Need(DemandState demand, boolean cold, double urgency) {}

    private ModelPolicy(ServiceState state) {
        this.state = state;
        this.demands = ModelDemands.byModel(state);
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
        policy.serveNeeds();
        if (state.settled()) {
            policy.copyAhead();
        }
        return policy.directives;
    }

    private Engine engine() {
        return state.engine();
    }

    private void serveNeeds() {
        demands.values().stream()
                .filter(demand -> engine().models().containsKey(demand.model().model()))
                .map(this::need)
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(Need::urgency).reversed())
                .forEach(this::serve);
    }

    /** Returns the need of a model for one more runner, empty where those that hold or load it suffice. */
    private Optional<Need> need(DemandState demand) {
        String model = demand.model().model();
        if (state.runners().stream().anyMatch(runner -> runner.loads(model))) {
            return Optional.empty();
        }
        List<RunnerState> holders = state.runners().stream()
                .filter(runner -> !runner.leaving() && runner.holds(model))
                .toList();
        if (holders.isEmpty()) {
            return demand.waiting() > 0 ? Optional.of(new Need(demand, true, coldUrgency(demand))) : Optional.empty();
        }
        boolean crowded = holders.stream().allMatch(runner -> runner.load() > CROWDED_SHARE);
        double urgency = demand.waiting() + demand.perSecond();
        return crowded ? Optional.of(new Need(demand, false, urgency)) : Optional.empty();
    }

    /** Requests that can still be on time go before those that are late anyway; a model asked for in vain gains. */
    private double coldUrgency(DemandState demand) {
        double waiting = demand.isLate() ? LATE_SHARE * demand.waiting() : demand.waiting();
        double unmetSeconds = state.unmetMs().getOrDefault(demand.model().model(), 0L) / MS_PER_SECOND;
        return waiting + demand.perSecond() + UNMET_PER_SECOND * unmetSeconds;
    }

    private void serve(Need need) {
        String model = need.demand().model().model();
        state.runners().stream()
                .filter(runner -> isOpen(runner, model))
                .map(runner -> option(runner, model))
                .flatMap(Optional::stream)
                .filter(option -> option.victims().stream().allMatch(victim -> mayYield(option, victim, need)))
                .min(Comparator.comparingDouble(Option::costMs))
                .filter(option -> option.runner().hasCopy(model) || !awaitsCopy(need))
                .ifPresent(option -> carryOut(model, option, need.cold() ? "waiting" : "crowded"));
    }

    /** Returns whether a runner with a copy, busy now, will serve sooner than a load from the store would. */
    private boolean awaitsCopy(Need need) {
        String model = need.demand().model().model();
        boolean copied = state.runners().stream()
                .anyMatch(runner -> !runner.leaving() && !runner.holds(model) && runner.hasCopy(model));
        return copied && need.demand().oldestMs() < COPY_PATIENCE_MS;
    }

    private boolean isOpen(RunnerState runner, String model) {
        return runner.known()
                && runner.idle()
                && !runner.leaving()
                && !taken.contains(runner.id())
                && !runner.holds(model);
    }

    private double rate(String model) {
        DemandState demand = demands.get(model);
        if (demand == null) {
            return LEAST_PER_SECOND;
        }
        double waiting = demand.waiting() > 0 ? WAITING_PER_SECOND : 0;
        return Math.max(LEAST_PER_SECOND, demand.perSecond() + waiting);
    }

    /** Returns the cheapest way to bring a model to a runner, empty where it cannot make room. */
    private Optional<Option> option(RunnerState runner, String model) {
        Model wanted = engine().models().get(model);
        Optional<List<String>> victims = victims(runner, wanted.weightsMb());
        if (victims.isEmpty()) {
            return Optional.empty();
        }
        double loadMs = loadMs(runner, wanted);
        boolean waits = victims.get().stream().anyMatch(victim -> runner.requestsOf(victim) > 0);
        double cost = loadMs
                + LOAD_MS_OF_FULL_RUNNER * runner.load()
                + blockingCost(runner, waits ? loadMs + IN_USE_MS : loadMs)
                + victims.get().stream()
                        .mapToDouble(victim -> victimCost(runner, victim))
                        .sum();
        return Optional.of(new Option(runner, victims.get(), cost));
    }

    /** Returns the models that make room at the least cost, none needlessly; empty where no room can be made. */
    private Optional<List<String>> victims(RunnerState runner, double weightsMb) {
        double missing = weightsMb - (engine().maxWeightsMb() - ModelDemands.weightsMb(engine(), runner));
        List<String> byCost = runner.models().keySet().stream()
                .filter(held ->
                        engine().models().containsKey(held) && !runner.fresh().contains(held))
                .sorted(Comparator.comparingDouble(held -> victimCost(runner, held)))
                .toList();
        List<String> victims = new ArrayList<>();
        for (String victim : byCost) {
            if (missing > 0) {
                victims.add(victim);
                missing -= weightsMb(victim);
            }
        }
        if (missing > 0) {
            return Optional.empty();
        }
        return Optional.of(withoutCheaperOnes(victims, missing));
    }

    /** Drops the victims that turned out not to be needed beside a larger one, cheapest first. */
    private List<String> withoutCheaperOnes(List<String> victims, double missing) {
        List<String> needed = new ArrayList<>(victims);
        double spare = -missing;
        for (String victim : victims) {
            if (needed.size() > 1 && weightsMb(victim) <= spare) {
                needed.remove(victim);
                spare -= weightsMb(victim);
            }
        }
        return needed;
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
    private double victimCost(RunnerState runner, String victim) {
        double inUse = runner.requestsOf(victim) > 0 ? IN_USE_MS : 0;
        if (isSpareReplica(runner, victim)) {
            return SPARE_REPLICA_MS + inUse;
        }
        Model model = engine().models().get(victim);
        double restartMs = runner.hasCopy(victim) ? model.diskLoadMs() : model.storeLoadMs();
        double last = replicas.getOrDefault(victim, 1) <= 1 ? LAST_REPLICA_FACTOR : 1;
        return rate(victim) * restartMs * last + inUse;
    }

    /** Returns whether the other runners that hold a model can take over its requests. */
    private boolean isSpareReplica(RunnerState runner, String model) {
        List<RunnerState> others = state.runners().stream()
                .filter(other ->
                        !other.leaving() && other.holds(model) && !other.id().equals(runner.id()))
                .filter(other -> !taken.contains(other.id()))
                .toList();
        double free = others.stream()
                .mapToDouble(other -> CROWDED_SHARE * other.slots() - other.requests())
                .filter(places -> places > 0)
                .sum();
        return free > runner.requestsOf(model);
    }

    private void carryOut(String model, Option option, String reason) {
        RunnerState runner = option.runner();
        boolean fromStore = !runner.hasCopy(model);
        boolean urgent = demands.containsKey(model) && demands.get(model).perSecond() > BUSY_PER_SECOND;
        int maxLoads = urgent ? MAX_URGENT_STORE_LOADS : MAX_STORE_LOADS;
        if (fromStore && (!state.storeLoadAllowed() || storeLoads >= maxLoads)) {
            return;
        }
        storeLoads += fromStore ? 1 : 0;
        List<PlacementOrder> orders = new ArrayList<>();
        option.victims().forEach(victim -> orders.add(new PlacementOrder.UnloadModel(victim)));
        orders.add(new PlacementOrder.LoadModel(model));
        taken.add(runner.id());
        directives.add(new Directive(runner.id(), orders, reason));
    }

    /** Models in use make way only for requests that have waited long; none does for one that is asked for less. */
    private boolean mayYield(Option option, String victim, Need need) {
        boolean inUse = option.runner().requestsOf(victim) > 0;
        if (need.cold()) {
            boolean awaited = demands.containsKey(victim) && demands.get(victim).waiting() > 0;
            boolean pressing =
                    need.demand().oldestMs() > PATIENT_MS || need.demand().perSecond() > BUSY_PER_SECOND;
            return !awaited && (!inUse || pressing && rate(victim) < need.urgency());
        }
        int holders = replicas.getOrDefault(need.demand().model().model(), 0);
        double relief = need.demand().perSecond() / (1 + holders);
        return !inUse && (isSpareReplica(option.runner(), victim) || rate(victim) < relief / 2);
    }

    /** Brings models of which no runner has a copy to free memory or in place of idle ones, a few at a time. */
    private void copyAhead() {
        for (String model : engine().models().keySet().stream().sorted().toList()) {
            if (storeLoads >= MAX_STORE_LOADS) {
                return;
            }
            boolean copied = state.runners().stream()
                    .filter(runner -> !runner.leaving())
                    .anyMatch(runner -> runner.hasCopy(model) || runner.holds(model) || runner.loads(model));
            if (!copied) {
                copy(model);
            }
        }
    }

    private void copy(String model) {
        state.runners().stream()
                .filter(runner -> isOpen(runner, model))
                .map(runner -> option(runner, model))
                .flatMap(Optional::stream)
                .filter(option -> option.victims().stream().allMatch(victim -> isSpare(option, victim)))
                .min(Comparator.comparingDouble(Option::costMs))
                .ifPresent(option -> carryOut(model, option, "ahead"));
    }

    /** Returns whether a model may make way for a copy ahead: idle, and soon loaded again. */
    private boolean isSpare(Option option, String victim) {
        boolean idle = option.runner().requestsOf(victim) == 0 && rate(victim) < IDLE_PER_SECOND;
        boolean several = replicas.getOrDefault(victim, 1) > 1;
        return idle && !several && option.runner().hasCopy(victim);
    }
}
