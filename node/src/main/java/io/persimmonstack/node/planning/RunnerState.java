package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.request.ModelRef;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State of one runner that the planner's decisions are based on.
 *
 * @param id identifier
 * @param zone availability zone
 * @param softwareVersion version of its software
 * @param stateKnown whether its state is known, so that orders can be sent to it
 * @param idle whether it takes an order now: no directive for it is in progress, and it has asked for no pause
 * @param leaving whether it accepts no new work
 * @param sequence number of orders that it had accepted in this state
 * @param models models that it holds, by name
 * @param recentlyLoaded models loaded so recently that the requests waiting for them may not have started
 * @param loadingModel model that it is loading
 * @param loadingAdapters adapters that it is loading
 * @param reservedAdapters adapters that it may still load by orders without an answer, so that they need room
 * @param inMemory models with a copy in its host memory
 * @param onDisk models with a copy on its disk
 * @param requestCounts requests in progress
 * @param slots number of requests that it can run concurrently
 */
record RunnerState(
        String id,
        String zone,
        String softwareVersion,
        boolean stateKnown,
        boolean idle,
        boolean leaving,
        long sequence,
        Map<String, HeldModel> models,
        Set<String> recentlyLoaded,
        Optional<String> loadingModel,
        Set<ModelRef> loadingAdapters,
        Set<ModelRef> reservedAdapters,
        Set<String> inMemory,
        Set<String> onDisk,
        RequestCounts requestCounts,
        int slots) {
    /** Utilisation above which a runner counts as crowded. */
    static final double CROWDED_UTILISATION = 0.6;

    /** Returns the number of requests in progress. */
    int requests() {
        return requestCounts.total();
    }

    /** Returns the number of requests in progress for a model, those for its adapters included. */
    int requestsOf(String model) {
        return requestCounts.ofModel(model);
    }

    /** Returns the share of its slots in use, 1 if all are; more if requests queue at the runner. */
    double utilisation() {
        return (double) requests() / Math.max(1, slots);
    }

    boolean holds(String model) {
        return models.containsKey(model);
    }

    boolean holds(ModelRef adapter) {
        return holds(adapter.model()) && models.get(adapter.model()).adapters().contains(adapter.adapter());
    }

    boolean isLoading(String model) {
        return loadingModel.filter(model::equals).isPresent();
    }

    /** Returns the number of adapters that it holds, is loading or may still load. */
    int adapterCount() {
        int held = models.values().stream()
                .mapToInt(model -> model.adapters().size())
                .sum();
        return held + loadingAdapters.size() + reservedAdapters.size();
    }

    /** Returns whether it has a copy of a model in host memory or on disk. */
    boolean hasLocalCopy(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }
}
