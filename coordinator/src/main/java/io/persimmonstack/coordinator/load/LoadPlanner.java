package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import java.util.Comparator;
import java.util.List;

/** Plans how to satisfy a demand from the announced states of all runners. Free of side effects: it sends no orders. */
public final class LoadPlanner {
    private static final int MAX_CANDIDATES = 3;

    private LoadPlanner() {}

    /**
     * Plans a load. An adapter goes to a runner that has its base model loaded; without one, the base model is planned.
     *
     * @param demand model or adapter to be loaded
     * @param runners all known runners
     * @param cap maximum replicas of the model, all versions together
     * @return the plan
     */
    public static LoadPlan plan(Demand demand, List<RunnerView> runners, int cap) {
        if (demand.key().adapter().isPresent()) {
            LoadPlan onLoadedBase = planAdapter(demand, runners);
            if (!(onLoadedBase instanceof LoadPlan.Refuse)) {
                return onLoadedBase;
            }
        }
        return planModel(demand, runners, cap);
    }

    /** Plans an adapter on runners that have its base model loaded; refuses if none of them has a live owner. */
    private static LoadPlan planAdapter(Demand demand, List<RunnerView> runners) {
        String adapter = demand.key().adapter().orElseThrow();
        ModelVersion model = demand.key().model();
        List<RunnerView> withBase = runners.stream()
                .filter(runner -> !runner.leaving() && state(runner, model) == LoadState.LOADED)
                .sorted(byProximity(demand))
                .toList();
        for (RunnerView runner : withBase) {
            if (runner.model(model).orElseThrow().getAdapters().contains(adapter)) {
                return new LoadPlan.Ready(runner);
            }
        }
        List<RunnerView> usable =
                withBase.stream().filter(RunnerView::ownerLive).toList();
        return usable.isEmpty()
                ? new LoadPlan.Refuse(LoadResult.REFUSED_OWNER, "no runner with the base model takes orders")
                : new LoadPlan.Order(limitCandidates(usable));
    }

    /** Plans a base model: uses existing replicas if there are enough, else orders one more. */
    private static LoadPlan planModel(Demand demand, List<RunnerView> runners, int cap) {
        ModelVersion model = demand.key().model();
        List<RunnerView> usable =
                runners.stream().filter(runner -> !runner.leaving()).toList();
        List<RunnerView> withModel = usable.stream()
                .filter(runner -> runner.holds(model))
                .sorted(byProximity(demand))
                .toList();
        int targetReplicas = Math.min(Math.max(1, demand.replicasWanted()), Math.max(1, cap));
        if (withModel.size() >= targetReplicas) {
            return planExisting(demand, withModel);
        }
        List<RunnerView> withMemory = usable.stream()
                .filter(RunnerView::ownerLive)
                .filter(runner -> runner.model(model).isEmpty())
                .filter(runner -> runner.freeableBytes() >= demand.sizes().totalBytes())
                .sorted(byCost(demand))
                .toList();
        LoadPlan plan = planOrder(demand, runners, withMemory, cap);
        return plan instanceof LoadPlan.Refuse && !withModel.isEmpty() ? planExisting(demand, withModel) : plan;
    }

    /** Plans a load on one of the runners with enough memory; uses granted slots first, then new, then idle ones. */
    private static LoadPlan planOrder(Demand demand, List<RunnerView> runners, List<RunnerView> withMemory, int cap) {
        ModelVersion model = demand.key().model();
        List<RunnerView> withSlot =
                withMemory.stream().filter(runner -> runner.hasSlot(model)).toList();
        if (!withSlot.isEmpty()) {
            return new LoadPlan.Order(limitCandidates(withSlot));
        }
        if (withMemory.isEmpty()) {
            return refuseWithoutCandidates(demand, runners);
        }
        long grantedSlots = runners.stream()
                .mapToLong(runner -> runner.slotsOf(model.model()).size())
                .sum();
        if (grantedSlots < cap) {
            return new LoadPlan.Order(limitCandidates(withMemory));
        }
        List<RunnerView> idleSlotHolders = runners.stream()
                .filter(RunnerView::ownerLive)
                .filter(runner -> runner.slotsOf(model.model()).stream()
                        .anyMatch(slot -> runner.model(slot).isEmpty()))
                .toList();
        return idleSlotHolders.isEmpty()
                ? new LoadPlan.Refuse(LoadResult.REFUSED_CAP, grantedSlots + " slots of " + cap + " are in use")
                : new LoadPlan.MoveSlot(idleSlotHolders, limitCandidates(withMemory));
    }

    /** Refuses because no usable runner has enough memory, or because those that have it are without a live owner. */
    private static LoadPlan refuseWithoutCandidates(Demand demand, List<RunnerView> runners) {
        boolean ownerMissing = runners.stream()
                .anyMatch(runner -> !runner.ownerLive()
                        && runner.freeableBytes() >= demand.sizes().totalBytes());
        return ownerMissing
                ? new LoadPlan.Refuse(LoadResult.REFUSED_OWNER, "the runners with room have no owner that may order")
                : new LoadPlan.Refuse(
                        LoadResult.REFUSED_MEMORY,
                        "no runner has room for " + demand.sizes().totalBytes() + " bytes");
    }

    /** Plans to use one of the runners that have the model, a loaded one if possible. */
    private static LoadPlan planExisting(Demand demand, List<RunnerView> withModel) {
        ModelVersion model = demand.key().model();
        for (RunnerView runner : withModel) {
            if (demand.key().adapter().isEmpty() && state(runner, model) == LoadState.LOADED) {
                return new LoadPlan.Ready(runner);
            }
        }
        LoadedModel firstModel = withModel.get(0).model(model).orElseThrow();
        return new LoadPlan.Underway(withModel.get(0), firstModel.isSetReadyInMs() ? firstModel.getReadyInMs() : 0);
    }

    /** Returns the state of a model on a runner, {@code UNLOADING} where the runner does not have it. */
    private static LoadState state(RunnerView runner, ModelVersion model) {
        return runner.model(model).map(LoadedModel::getState).orElse(LoadState.UNLOADING);
    }

    private static List<RunnerView> limitCandidates(List<RunnerView> runners) {
        return runners.subList(0, Math.min(MAX_CANDIDATES, runners.size()));
    }

    private static Comparator<RunnerView> byProximity(Demand demand) {
        return Comparator.comparingInt((RunnerView runner) -> runner.distance(demand.zone(), demand.region()))
                .thenComparing(RunnerView::runner);
    }

    /**
     * Orders runners by the cost of a load: those with a slot first, then those that need no eviction, then by distance
     * to the checkpoint, then by distance to the demand, then by free memory.
     */
    private static Comparator<RunnerView> byCost(Demand demand) {
        ModelVersion model = demand.key().model();
        return Comparator.comparing((RunnerView runner) -> !runner.hasSlot(model))
                .thenComparing(runner -> runner.freeBytes() < demand.sizes().totalBytes())
                .thenComparingInt(runner -> runner.checkpointRank(model))
                .thenComparingInt(runner -> runner.distance(demand.zone(), demand.region()))
                .thenComparing(Comparator.comparingLong(RunnerView::freeBytes).reversed())
                .thenComparing(RunnerView::runner);
    }
}
