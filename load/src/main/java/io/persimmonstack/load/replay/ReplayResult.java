package io.persimmonstack.load.replay;

import org.HdrHistogram.Histogram;

/**
 * Result of replaying one trace through one policy.
 *
 * @param policy name of the policy
 * @param fleet name of the fleet
 * @param coldStartMs histogram of the time that each request waited for its model, in milliseconds
 * @param idleAcceleratorHours accelerator hours in which a model was loading, or loaded without serving
 * @param loads number of loads
 * @param refused number of requests refused because too few accelerators were free
 * @param weightedHours total cost: idle accelerator hours plus hours of cold start times their weight
 */
record ReplayResult(
        String policy,
        String fleet,
        Histogram coldStartMs,
        double idleAcceleratorHours,
        long loads,
        long refused,
        double weightedHours) {
    /** Returns the number of all requests, with those refused. */
    long requests() {
        return coldStartMs.getTotalCount() + refused;
    }

    /** Returns a percentile, 0 to 100, of the cold start time of the requests served, in seconds. */
    double coldStartSeconds(double percentile) {
        return coldStartMs.getValueAtPercentile(percentile) / 1_000.0;
    }
}
