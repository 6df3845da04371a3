package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** States of runners and demand for tests of the policies. */
final class Fleets {
    static final int SLOTS = 10;
    static final double MODEL_MB = 30_000;
    static final double RUNNER_MB = 70_000;
    static final int ADAPTER_SLOTS = 2;

    private Fleets() {}

    /** Returns an engine of which a runner holds two models and two adapters. */
    static Engine engine(String... models) {
        Map<String, Model> byName = new HashMap<>();
        for (String model : models) {
            byName.put(model, new Model(model, MODEL_MB, 6_000, 1_000, 400, 50));
        }
        return new Engine(SLOTS, 100_000, RUNNER_MB, ADAPTER_SLOTS, 3, byName);
    }

    static HeldModel held(String model, String... adapters) {
        return new HeldModel(model, 1, Set.of(adapters));
    }

    /** Returns an idle runner with copies of what it holds. */
    static RunnerState runner(String id, HeldModel... models) {
        Map<String, HeldModel> byName = new HashMap<>();
        for (HeldModel model : models) {
            byName.put(model.name(), model);
        }
        return new RunnerState(
                id,
                "zone-a",
                true,
                true,
                false,
                byName,
                Set.of(),
                Optional.empty(),
                Set.of(),
                byName.keySet(),
                byName.keySet(),
                Map.of(),
                SLOTS);
    }

    static RunnerState using(RunnerState runner, Map<ModelRef, Integer> uses) {
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.known(),
                runner.idle(),
                runner.leaving(),
                runner.models(),
                runner.fresh(),
                runner.coming(),
                runner.adaptersComing(),
                runner.inMemory(),
                runner.onDisk(),
                uses,
                runner.slots());
    }

    static RunnerState withCopies(RunnerState runner, String... models) {
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.known(),
                runner.idle(),
                runner.leaving(),
                runner.models(),
                runner.fresh(),
                runner.coming(),
                runner.adaptersComing(),
                Set.of(),
                Set.of(models),
                runner.uses(),
                runner.slots());
    }

    static RunnerState loading(RunnerState runner, String model) {
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.known(),
                false,
                runner.leaving(),
                runner.models(),
                runner.fresh(),
                Optional.of(model),
                runner.adaptersComing(),
                runner.inMemory(),
                runner.onDisk(),
                runner.uses(),
                runner.slots());
    }

    static RunnerState withAdapterComing(RunnerState runner, ModelRef adapter) {
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.known(),
                runner.idle(),
                runner.leaving(),
                runner.models(),
                runner.fresh(),
                runner.coming(),
                Set.of(adapter),
                runner.inMemory(),
                runner.onDisk(),
                runner.uses(),
                runner.slots());
    }

    static DemandState waiting(String model, int requests) {
        return new DemandState(new ModelRef(model, ""), requests, 100, 3_000, 0.1);
    }

    static DemandState asked(String model, double perSecond) {
        return new DemandState(new ModelRef(model, ""), 0, 0, 0, perSecond);
    }

    static ServiceState state(Engine engine, List<RunnerState> runners, DemandState... demands) {
        return new ServiceState(engine, runners, List.of(demands), Map.of(), 0, true, true);
    }

    static RunnerState withFresh(RunnerState runner, String... models) {
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.known(),
                runner.idle(),
                runner.leaving(),
                runner.models(),
                Set.of(models),
                runner.coming(),
                runner.adaptersComing(),
                runner.inMemory(),
                runner.onDisk(),
                runner.uses(),
                runner.slots());
    }
}
