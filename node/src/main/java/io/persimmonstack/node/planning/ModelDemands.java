package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.request.ModelRef;
import java.util.HashMap;
import java.util.Map;

/** Sums over models and their adapters. */
final class ModelDemands {
    private ModelDemands() {}

    /** Returns the demand of each model, that of its adapters included. */
    static Map<String, DemandState> byModel(ServiceState state) {
        Map<String, DemandState> byModel = new HashMap<>();
        for (DemandState demand : state.demands()) {
            String model = demand.model().model();
            DemandState one = new DemandState(
                    new ModelRef(model, ""),
                    demand.waiting(),
                    demand.oldestMs(),
                    demand.targetMs(),
                    demand.perSecond());
            byModel.merge(model, one, ModelDemands::sum);
        }
        return byModel;
    }

    /** Returns whether a runner that stays holds a model. */
    static boolean isHeld(ServiceState state, String model) {
        return state.runners().stream().anyMatch(runner -> !runner.leaving() && runner.holds(model));
    }

    private static DemandState sum(DemandState one, DemandState other) {
        return new DemandState(
                one.model(),
                one.waiting() + other.waiting(),
                Math.max(one.oldestMs(), other.oldestMs()),
                Math.max(one.targetMs(), other.targetMs()),
                one.perSecond() + other.perSecond());
    }

    /** Returns the accelerator memory of the weights that a runner holds or is loading, in megabytes. */
    static double weightsMb(Engine engine, RunnerState runner) {
        double held = runner.models().keySet().stream()
                .mapToDouble(model -> weightsMb(engine, model))
                .sum();
        boolean counted =
                runner.coming().isEmpty() || runner.holds(runner.coming().get());
        return counted ? held : held + weightsMb(engine, runner.coming().get());
    }

    /** Returns the accelerator memory of a runner's weights and adapters, also those in transit, in megabytes. */
    static double usedMb(Engine engine, RunnerState runner) {
        double held = runner.models().values().stream()
                .mapToDouble(model ->
                        adapterMb(engine, model.name()) * model.adapters().size())
                .sum();
        double coming = runner.adaptersComing().stream()
                .mapToDouble(adapter -> adapterMb(engine, adapter.model()))
                .sum();
        return weightsMb(engine, runner) + held + coming;
    }

    /** Returns the weights of a model; a whole runner's memory for one that is not configured. */
    private static double weightsMb(Engine engine, String name) {
        Model model = engine.models().get(name);
        return model == null ? engine.memoryMb() : model.weightsMb();
    }

    private static double adapterMb(Engine engine, String name) {
        Model model = engine.models().get(name);
        return model == null ? 0 : model.adapterMb();
    }
}
