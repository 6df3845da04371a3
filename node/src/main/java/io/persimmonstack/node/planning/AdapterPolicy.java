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
 * Decides which runner holds which adapter, for a load of many adapters of a few models: one that is asked for is
 * loaded where its model is held and least is going on, in place of the adapter that is asked for least. Pure.
 */
final class AdapterPolicy {
    private static final int MAX_IN_TRANSIT = 4;
    private static final double CROWDED_SHARE = 0.6;
    private static final double CROWDED_COST = 100;
    private static final double NO_VICTIM_COST = 1_000;
    private final ServiceState state;
    private final Map<ModelRef, Double> rates = new HashMap<>();
    private final Set<ModelRef> awaited = new HashSet<>();
    private final Set<String> ordered = new HashSet<>();
    private final List<Directive> directives = new ArrayList<>();

    private AdapterPolicy(ServiceState state) {
        this.state = state;
        for (DemandState demand : state.demands()) {
            rates.put(demand.model(), demand.perSecond());
            if (demand.waiting() > 0) {
                awaited.add(demand.model());
            }
        }
    }

    /**
     * Plans.
     *
     * @param state runners and demand
     * @return orders, at most one directive for each runner
     */
    static List<Directive> plan(ServiceState state) {
        AdapterPolicy policy = new AdapterPolicy(state);
        state.demands().stream()
                .filter(demand -> demand.model().hasAdapter() && demand.waiting() > 0)
                .sorted(Comparator.comparingLong(DemandState::oldestMs).reversed())
                .forEach(demand -> policy.serve(demand.model()));
        return policy.directives;
    }

    private void serve(ModelRef adapter) {
        boolean served = state.runners().stream()
                .filter(runner -> !runner.leaving())
                .anyMatch(runner ->
                        runner.adaptersComing().contains(adapter) || runner.holds(adapter) && runner.load() < 1);
        if (served) {
            return;
        }
        state.runners().stream()
                .filter(runner -> isOpen(runner, adapter))
                .min(Comparator.comparingDouble(this::cost))
                .flatMap(runner -> directive(runner, adapter))
                .ifPresent(directive -> {
                    ordered.add(directive.runner());
                    directives.add(directive);
                });
    }

    private boolean isOpen(RunnerState runner, ModelRef adapter) {
        return runner.known()
                && runner.idle()
                && !runner.leaving()
                && !ordered.contains(runner.id())
                && runner.adaptersComing().size() < MAX_IN_TRANSIT
                && runner.holds(adapter.model())
                && !runner.holds(adapter);
    }

    private double cost(RunnerState runner) {
        double crowded = CROWDED_COST * Math.max(0, runner.load() - CROWDED_SHARE);
        return crowded + runner.load() + victimRate(runner);
    }

    private double victimRate(RunnerState runner) {
        if (runner.adapters() < state.engine().adapterSlots()) {
            return 0;
        }
        return victim(runner).map(ref -> rates.getOrDefault(ref, 0.0)).orElse(NO_VICTIM_COST);
    }

    private Optional<Directive> directive(RunnerState runner, ModelRef adapter) {
        Model model = state.engine().models().get(adapter.model());
        if (model == null) {
            return Optional.empty();
        }
        PlacementOrder load = new PlacementOrder.LoadAdapter(adapter.model(), adapter.adapter());
        double freeMb = state.engine().memoryMb() - ModelDemands.usedMb(state.engine(), runner);
        if (runner.adapters() < state.engine().adapterSlots() && freeMb >= model.adapterMb()) {
            return Optional.of(new Directive(runner.id(), List.of(load), "waiting"));
        }
        return victim(runner)
                .map(ref -> new PlacementOrder.UnloadAdapter(ref.model(), ref.adapter()))
                .map(unload -> new Directive(runner.id(), List.of(unload, load), "waiting"));
    }

    /** Returns the adapter that no request uses or waits for and that is asked for least. */
    private Optional<ModelRef> victim(RunnerState runner) {
        return runner.models().values().stream()
                .flatMap(model -> model.adapters().stream().map(name -> new ModelRef(model.name(), name)))
                .filter(ref -> runner.uses().getOrDefault(ref, 0) == 0 && !awaited.contains(ref))
                .min(Comparator.comparingDouble(ref -> rates.getOrDefault(ref, 0.0)));
    }
}
