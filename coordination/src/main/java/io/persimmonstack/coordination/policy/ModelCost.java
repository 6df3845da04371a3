package io.persimmonstack.coordination.policy;

/**
 * Cost of keeping a model loaded and of loading it again.
 *
 * @param accelerators number of accelerators that the model occupies while loaded, positive
 * @param loadMs time from the load order to the first token, in milliseconds, positive
 * @param coldStartWeight cost of one second of cold start, in idle accelerator seconds, 0 or more
 */
public record ModelCost(double accelerators, long loadMs, double coldStartWeight) {
    private static final double MS_PER_SECOND = 1_000.0;

    /** Rejects values out of range. */
    public ModelCost {
        requirePositive("accelerators", accelerators);
        requirePositive("loadMs", loadMs);
        if (!(coldStartWeight >= 0)) {
            throw new IllegalArgumentException("coldStartWeight " + coldStartWeight + ": expected 0 or more");
        }
    }

    /** Returns the cost of one cold start, in idle accelerator seconds. */
    public double coldStartCost() {
        return coldStartWeight * loadMs / MS_PER_SECOND;
    }

    /** Returns the accelerator seconds that are occupied by one load before the first token. */
    public double loadCost() {
        return accelerators * loadMs / MS_PER_SECOND;
    }

    private static void requirePositive(String name, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " " + value + ": expected more than 0");
        }
    }
}
