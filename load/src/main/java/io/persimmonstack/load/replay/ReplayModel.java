package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.ModelCost;

/**
 * Model that the requests of a trace use.
 *
 * @param name name of the model
 * @param cost cost of keeping it loaded and of loading it
 */
record ReplayModel(String name, ModelCost cost) {
    /** Returns this model with another cold start weight. */
    ReplayModel withWeight(double weight) {
        return new ReplayModel(name, new ModelCost(cost.accelerators(), cost.loadMs(), weight));
    }
}
