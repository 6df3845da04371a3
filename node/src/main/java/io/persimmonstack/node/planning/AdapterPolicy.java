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

    /** Utilisation above which a runner counts as crowded. */
    private static final double CROWDED_UTILISATION = 0.6;
    /** Cost per unit of utilisation above the crowded threshold. */
    private static final double CROWDED_COST = 100;
    /** Cost of a runner on which no adapter can be evicted; outweighs all other costs. */
    private static final double NO_VICTIM_COST = 1_000;

    private final ServiceState state;
    private final Map<ModelRef, Double> rates = new HashMap<>();
    /** Models and adapters that requests wait for. */
    private final Set<ModelRef> refsWithWaitingRequests = new HashSet<>();

    private final Set<String> assignedRunners = new HashSet<>();
    private final List<Directive> directives = new ArrayList<>();

    private AdapterPolicy(ServiceState state) {
        this.state = state;
        for (FleetDemand demand : state.demands()) {
            rates.put(demand.model(), demand.perSecond());
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
                .forEach(demand -> policy.planLoad(demand.model()));
        return policy.directives;
    }

    private void planLoad(ModelRef adapter) {
        boolean available = state.runners().stream()
                .filter(runner -> !runner.leaving())
                .anyMatch(runner -> runner.loadingAdapters().contains(adapter)
                        || runner.holds(adapter) && runner.utilisation() < 1);
        if (available) {
            return;
        }
        state.runners().stream()
                .filter(runner -> canLoad(runner, adapter))
                .min(Comparator.comparingDouble(this::cost))
                .flatMap(runner -> directive(runner, adapter))
                .ifPresent(directive -> {
                    assignedRunners.add(directive.runner());
                    directives.add(directive);
                });
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

    private double cost(RunnerState runner) {
        double crowdingCost = CROWDED_COST * Math.max(0, runner.utilisation() - CROWDED_UTILISATION);
        return crowdingCost + runner.utilisation() + evictionCost(runner);
    }

    /** Returns the request rate of the adapter to evict, 0 if the runner has a free adapter slot. */
    private double evictionCost(RunnerState runner) {
        if (runner.adapterCount() < state.engine().adapterSlots()) {
            return 0;
        }
        return victim(runner)
                .map(adapterRef -> rates.getOrDefault(adapterRef, 0.0))
                .orElse(NO_VICTIM_COST);
    }

    private Optional<Directive> directive(RunnerState runner, ModelRef adapter) {
        Model model = state.engine().models().get(adapter.model());
        if (model == null) {
            return Optional.empty();
        }
        PlacementOrder load = new PlacementOrder.LoadAdapter(adapter.model(), adapter.adapter());
        double freeMb = state.engine().memoryMb() - ServiceAggregates.usedMemoryMb(state.engine(), runner);
        if (runner.adapterCount() < state.engine().adapterSlots() && freeMb >= model.adapterMb()) {
            return Optional.of(new Directive(runner.id(), runner.sequence(), List.of(load), "waiting"));
        }
        return victim(runner)
                .map(adapterRef -> new PlacementOrder.UnloadAdapter(adapterRef.model(), adapterRef.adapter()))
                .map(unload -> new Directive(runner.id(), runner.sequence(), List.of(unload, load), "waiting"));
    }

    /** Returns the least requested adapter that no request uses or waits for. */
    private Optional<ModelRef> victim(RunnerState runner) {
        return runner.models().values().stream()
                .flatMap(model -> model.adapters().stream().map(name -> new ModelRef(model.name(), name)))
                .filter(adapterRef -> runner.requestsByModel().getOrDefault(adapterRef, 0) == 0
                        && !refsWithWaitingRequests.contains(adapterRef))
                .min(Comparator.comparingDouble(adapterRef -> rates.getOrDefault(adapterRef, 0.0)));
    }
}
