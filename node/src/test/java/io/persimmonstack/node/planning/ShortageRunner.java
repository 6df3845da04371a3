package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** State of one runner in {@link LoadShortageModel}, which changes it. Not thread-safe. */
final class ShortageRunner {
    final String id;
    final double slowLoads;
    final Map<String, Long> loadedMs = new HashMap<>();
    final Set<String> memory = new LinkedHashSet<>();
    final Set<String> disk = new LinkedHashSet<>();
    final List<Run> runs = new ArrayList<>();
    final Deque<String> unloading = new ArrayDeque<>();
    Optional<String> loading = Optional.empty();
    boolean loadStarted;
    boolean fromStore;
    StoreConcurrency.Load storeLoad;
    double loadLeftMs;
    final Set<ModelRef> adapters = new HashSet<>();
    long adapterOrderMs;

    ShortageRunner(String id, double slowLoads) {
        this.id = id;
        this.slowLoads = slowLoads;
    }

    long runsOf(String model) {
        return runs.stream()
                .filter(run -> run.reference().model().equals(model))
                .count();
    }

    boolean idle() {
        return loading.isEmpty() && adapterOrderMs == 0;
    }

    boolean serves(ModelRef reference) {
        return loadedMs.containsKey(reference.model()) && (!reference.hasAdapter() || adapters.contains(reference));
    }

    /** Request that runs until a simulated time. */
    record Run(ModelRef reference, long endMs) {}
}
