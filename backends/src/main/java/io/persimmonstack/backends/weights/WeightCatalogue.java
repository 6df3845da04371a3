package io.persimmonstack.backends.weights;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/**
 * Contents and limits of the weight store.
 *
 * @param loadsPerSecond loads of checkpoints that may begin each second
 * @param fullSpeedLoads loads at once that run at full speed
 * @param adaptersInFlight adapter loads at once, over all runners, that run at full speed
 * @param weights checkpoints and adapters
 */
public record WeightCatalogue(double loadsPerSecond, int fullSpeedLoads, int adaptersInFlight, List<Weight> weights) {
    /** Copies the weights. */
    public WeightCatalogue {
        weights = List.copyOf(weights);
    }

    /** Returns the checkpoint of a base model. */
    public Optional<Weight> checkpoint(ModelVersion base) {
        return find(base, Optional.empty());
    }

    /** Returns an adapter of a base model. */
    public Optional<Weight> adapter(ModelVersion base, String name) {
        return find(base, Optional.of(name));
    }

    private Optional<Weight> find(ModelVersion base, Optional<String> adapter) {
        return weights.stream()
                .filter(weight -> weight.base().equals(base) && weight.adapter().equals(adapter))
                .findFirst();
    }
}
