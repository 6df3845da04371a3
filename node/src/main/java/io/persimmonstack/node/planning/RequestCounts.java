package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;
import java.util.HashMap;
import java.util.Map;

/** Numbers of requests in progress at one runner: in total, by model, and by model or adapter. Immutable. */
final class RequestCounts {
    private final Map<ModelRef, Integer> byReference;
    private final Map<String, Integer> byModel = new HashMap<>();
    private int total;

    private RequestCounts(Map<ModelRef, Integer> byReference) {
        this.byReference = Map.copyOf(byReference);
        this.byReference.forEach((reference, count) -> {
            byModel.merge(reference.model(), count, Integer::sum);
            total += count;
        });
    }

    /** Returns the counts of requests that are given by model or adapter. */
    static RequestCounts of(Map<ModelRef, Integer> byReference) {
        return new RequestCounts(byReference);
    }

    int total() {
        return total;
    }

    /** Returns the number of requests for a model, those for its adapters included. */
    int ofModel(String model) {
        return byModel.getOrDefault(model, 0);
    }

    /** Returns the number of requests for exactly this model or adapter. */
    int of(ModelRef reference) {
        return byReference.getOrDefault(reference, 0);
    }
}
