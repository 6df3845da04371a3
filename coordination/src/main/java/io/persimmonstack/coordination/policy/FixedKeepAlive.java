package io.persimmonstack.coordination.policy;

import java.util.Optional;

/**
 * Baseline policy with the same keep-alive for every model. It learns nothing and never loads ahead.
 *
 * @param keepAliveMs time from the end of the last request to the unload, in milliseconds
 */
record FixedKeepAlive(long keepAliveMs) implements KeepAlivePolicy {
    @Override
    public void observe(String model, ModelCost cost, long nowMs) {}

    @Override
    public long keepAliveMs(String model, ModelCost cost, long idleSinceMs) {
        return keepAliveMs;
    }

    @Override
    public long holdUntilMs(String model, ModelCost cost, long nowMs) {
        return nowMs;
    }

    @Override
    public long preloadUntilMs(String model, ModelCost cost, long nowMs) {
        return nowMs;
    }

    @Override
    public double retentionValue(String model, ModelCost cost, long nowMs) {
        return 0;
    }

    @Override
    public Optional<DemandStatistics> statistics(String model) {
        return Optional.empty();
    }

    @Override
    public long observations(String model) {
        return 0;
    }

    @Override
    public boolean adopt(String model, DemandStatistics statistics) {
        return false;
    }
}
