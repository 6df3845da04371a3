package io.persimmonstack.load.replay;

import org.HdrHistogram.Histogram;

/**
 * Outcome of a replay.
 *
 * @param policy name of the policy
 * @param fleet name of the fleet
 * @param coldStartMs time that each request waited for its model, milliseconds
 * @param idleAcceleratorHours accelerator hours that a model was loaded or loading and served nothing
 * @param loads count of loads
 * @param refused requests for which no accelerator was free
 * @param weightedHours idle accelerator hours plus the cold starts at the weight of the fleet
 */
record ReplayResult(
        String policy,
        String fleet,
        Histogram coldStartMs,
        double idleAcceleratorHours,
        long loads,
        long refused,
        double weightedHours) {
    long requests() {
        return coldStartMs.getTotalCount() + refused;
    }

    double coldStartSeconds(double percentile) {
        return coldStartMs.getValueAtPercentile(percentile) / 1_000.0;
    }
}
