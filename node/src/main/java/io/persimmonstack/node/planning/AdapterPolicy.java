package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which runners hold which adapters, for workloads with many adapters of a few models. A requested adapter is
 * loaded on the least utilised runner that holds its model, and replaces the least requested adapter there if
 * necessary. The plan depends only on the given state.
 */
final class AdapterPolicy {
    /** Adapters that a runner may load at once. */
    private static final int MAX_LOADING_PER_RUNNER = 4;

    /** Cost per unit of utilisation above the crowded threshold. */
    private static final double CROWDED_COST = 100;

    private final ServiceState state;
    private final Map<ModelRef, Double> rates = new HashMap<>();
    /** Models and adapters that requests wait for. */
    private final Set<ModelRef> refsWithWaitingRequests = new HashSet<>();

    private final Set<String> assignedRunners = new HashSet<>();
    private final List<Directive> directives = new ArrayList<>();

    /** Way to load an adapter on a runner: the adapters to evict first and the total cost. */
    private record LoadOption(RunnerState runner, List<ModelRef> victims, double cost) {}

    private AdapterPolicy(ServiceState state) {
        this.state = state;
        for (FleetDemand demand : state.demands()) {
            rates.merge(demand.model(), demand.perSecond(), Double::sum);
            if (demand.waiting() > 0) {
                refsWithWaitingRequests.add(demand.model());
            }
        }
    }

    /**
     * Plans adapter loads for the requests that wait, the longest waiting first.
     *
     * @param state runners and demand of a service
     * @return the directives, at most one for each runner
     */
    static List<Directive> plan(ServiceState state) {
        AdapterPolicy policy = new AdapterPolicy(state);
        state.demands().stream()
                .filter(demand -> demand.model().hasAdapter() && demand.waiting() > 0)
                .sorted(Comparator.comparingLong(FleetDemand::oldestWaitMs).reversed())
                .forEach(policy::planLoad);
        return policy.directives;
    }

    private void planLoad(FleetDemand demand) {
        ModelRef adapter = demand.model();
        boolean available = state.runners().stream()
                .filter(runner -> !runner.leaving() && demand.allows(runner))
                .anyMatch(runner -> runner.loadingAdapters().contains(adapter)
                        || runner.holds(adapter) && runner.utilisation() < 1);
        Model model = state.engine().models().get(adapter.model());
        if (available || model == null) {
            return;
        }
        state.runners().stream()
                .filter(runner -> demand.allows(runner) && canLoad(runner, adapter))
                .map(runner -> loadOption(runner, model))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(LoadOption::cost))
                .ifPresent(option -> addDirective(adapter, option));
    }

    /** Returns whether an order for an adapter may be sent to a runner now. */
    private boolean canLoad(RunnerState runner, ModelRef adapter) {
        return runner.stateKnown()
                && runner.idle()
                && !runner.leaving()
                && !assignedRunners.contains(runner.id())
                && runner.loadingAdapters().size() < MAX_LOADING_PER_RUNNER
                && runner.holds(adapter.model())
                && !runner.holds(adapter);
    }

    /** Returns how to load an adapter of a model on a runner, empty if not enough adapters can be evicted. */
    private Optional<LoadOption> loadOption(RunnerState runner, Model model) {
        double crowdingCost = CROWDED_COST * Math.max(0, runner.utilisation() - RunnerState.CROWDED_UTILISATION);
        return victims(runner, model)
                .map(victims ->
                        new LoadOption(runner, victims, crowdingCost + runner.utilisation() + evictionCost(victims)));
    }

    /** Returns the request rate of the adapters to evict. */
    private double evictionCost(List<ModelRef> victims) {
        return victims.stream().mapToDouble(this::rate).sum();
    }

    private double rate(ModelRef adapter) {
        return rates.getOrDefault(adapter, 0.0);
    }

    /**
     * Returns the least requested adapters whose eviction frees a slot and the memory for an adapter of a model, empty
     * if not enough can be freed.
     */
    private Optional<List<ModelRef>> victims(RunnerState runner, Model model) {
        int missingSlots = runner.adapterCount() + 1 - state.engine().adapterSlots();
        double missingMb = ServiceAggregates.usedMemoryMb(state.engine(), runner)
                + model.adapterMb()
                - state.engine().memoryMb();
        List<ModelRef> victims = new ArrayList<>();
        if (missingSlots <= 0 && missingMb <= 0) {
            return Optional.of(victims);
        }
        for (ModelRef victim : evictableAdapters(runner)) {
            victims.add(victim);
            missingSlots--;
            missingMb -= ServiceAggregates.adapterMb(state.engine(), victim.model());
            if (missingSlots <= 0 && missingMb <= 0) {
                return Optional.of(victims);
            }
        }
        return Optional.empty();
    }

    /** Returns the adapters that no request uses or waits for, the least requested first. */
    private List<ModelRef> evictableAdapters(RunnerState runner) {
        return runner.models().values().stream()
                .flatMap(model -> model.adapters().stream().map(name -> new ModelRef(model.name(), name)))
                .filter(adapter ->
                        runner.requestCounts().of(adapter) == 0 && !refsWithWaitingRequests.contains(adapter))
                .sorted(Comparator.comparingDouble(this::rate))
                .toList();
    }

    private void addDirective(ModelRef adapter, LoadOption option) {
        List<PlacementOrder> orders = new ArrayList<>();
        option.victims()
                .forEach(victim -> orders.add(new PlacementOrder.UnloadAdapter(victim.model(), victim.adapter())));
        orders.add(new PlacementOrder.LoadAdapter(adapter.model(), adapter.adapter()));
        RunnerState runner = option.runner();
        assignedRunners.add(runner.id());
        directives.add(new Directive(runner.id(), runner.sequence(), orders, "waiting"));
    }
}
