package io.persimmonstack.coordination.grant;

/** Replica caps of all models in one version of the configuration. */
@FunctionalInterface
public interface ReplicaCaps {
    /** Returns the cap of a model, zero replicas if the configuration does not contain the model. */
    ReplicaCap cap(String model);

    /** Returns the first version of the configuration since which the model's cap is known not to have changed. */
    default long unchangedSince(String model) {
        return cap(model).configurationVersion();
    }
}
