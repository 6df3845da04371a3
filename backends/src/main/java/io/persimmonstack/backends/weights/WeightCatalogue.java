package io.persimmonstack.backends.weights;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * Contents and load limits of the weight store.
 *
 * @param loadsPerSecond number of checkpoint loads that may start per second
 * @param fullSpeedLoads number of concurrent checkpoint loads that run at full speed
 * @param adaptersInFlight number of concurrent adapter loads, over all runners, that run at full speed
 * @param weights checkpoints and adapters
 */
public record WeightCatalogue(double loadsPerSecond, int fullSpeedLoads, int adaptersInFlight, List<Weight> weights) {
    /** Makes the list of weights immutable. */
    public WeightCatalogue {
        weights = List.copyOf(weights);
    }

    /** Returns the checkpoint of a base model, or empty if the weight store does not have it. */
    public Optional<Weight> checkpoint(ModelVersion base) {
        return find(base, Optional.empty());
    }

    /** Returns the named adapter of a base model, or empty if the weight store does not have it. */
    public Optional<Weight> adapter(ModelVersion base, String name) {
        return find(base, Optional.of(name));
    }

    private Optional<Weight> find(ModelVersion base, Optional<String> adapter) {
        return weights.stream()
                .filter(weight -> weight.base().equals(base) && weight.adapter().equals(adapter))
                .findFirst();
    }
}
