package io.persimmonstack.coordinator.load;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.policy.DemandStatistics;
import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.policy.ModelCost;
import io.persimmonstack.coordination.policy.StatisticsException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Asks the keep-alive policy with the costs of a model, one caller at a time. */
public final class DemandTracker {
    private static final double BASE_ACCELERATORS = 1;
    private static final double ADAPTER_ACCELERATORS = 0.05;
    private static final long DEFAULT_LOAD_MS = 10_000;
    private static final double LOAD_TIME_WEIGHT = 0.5;
    private static final int HEADER_LENGTH = 2;

    private final KeepAlivePolicy policy;
    private final Supplier<FleetConfiguration> configuration;
    private final long minKeepAliveMs;
    private final Map<LoadKey, Long> loadTimesMs = new ConcurrentHashMap<>();
    private final Set<LoadKey> observedKeys = ConcurrentHashMap.newKeySet();

    private DemandTracker(KeepAlivePolicy policy, Supplier<FleetConfiguration> configuration, long minKeepAliveMs) {
        this.policy = policy;
        this.configuration = configuration;
        this.minKeepAliveMs = minKeepAliveMs;
    }

    /**
     * Creates the access to a policy.
     *
     * @param policy decides
     * @param configuration configuration in force, for the weights of cold starts
     * @param minKeepAliveMs least time that a model stays loaded, so that a load is not undone before its requests come
     * @return the access
     */
    public static DemandTracker of(
            KeepAlivePolicy policy, Supplier<FleetConfiguration> configuration, long minKeepAliveMs) {
        return new DemandTracker(policy, configuration, minKeepAliveMs);
    }

    /** Notes a request at the given wall-clock time. */
    public synchronized void observe(LoadKey key, long atMs) {
        observedKeys.add(key);
        policy.observe(key.toString(), cost(key), atMs);
    }

    /** Notes how long a load took. */
    public void recordLoadTime(LoadKey key, long durationMs) {
        loadTimesMs.merge(key, Math.max(1, durationMs), (average, latest) ->
                (long) (average * (1 - LOAD_TIME_WEIGHT) + latest * LOAD_TIME_WEIGHT));
    }

    /** Returns how long a load is expected to take. */
    public long expectedLoadMs(LoadKey key) {
        return loadTimesMs.getOrDefault(key, DEFAULT_LOAD_MS);
    }

    /** Returns how long a model idle since the given wall-clock time stays loaded. */
    public synchronized long keepAliveMs(LoadKey key, long idleSinceMs) {
        return Math.max(minKeepAliveMs, policy.keepAliveMs(key.toString(), cost(key), idleSinceMs));
    }

    /** Returns whether demand is likely enough to keep an idle model loaded. */
    public synchronized boolean shouldKeepLoaded(LoadKey key, long nowMs) {
        return policy.holdUntilMs(key.toString(), cost(key), nowMs) > nowMs;
    }

    /** Returns until when demand is likely enough to load a model ahead, or the given time where it is not. */
    public synchronized long preloadUntilMs(LoadKey key, long nowMs) {
        return policy.preloadUntilMs(key.toString(), cost(key), nowMs);
    }

    /** Returns from how many reports the demand for a model is known. */
    public synchronized long observations(LoadKey key) {
        return policy.observations(key.toString());
    }

    /** Returns what is known of a model's demand: the time of a load, the count of observations, the statistics. */
    public synchronized Optional<List<Double>> statistics(LoadKey key) {
        return policy.statistics(key.toString()).map(statistics -> encode(expectedLoadMs(key), statistics));
    }

    /** Returns what is known of the demand for all models together. */
    public synchronized Optional<List<Double>> fleetStatistics() {
        return policy.statistics(KeepAlivePolicy.ALL_MODELS).map(statistics -> encode(0, statistics));
    }

    private static List<Double> encode(long expectedLoadMs, DemandStatistics statistics) {
        List<Double> encoded = new ArrayList<>();
        encoded.add((double) expectedLoadMs);
        encoded.add((double) statistics.observations());
        encoded.addAll(statistics.numbers());
        return encoded;
    }

    /** Takes over what another node knows of a model's demand, if that is more. */
    public synchronized void adopt(LoadKey key, List<Double> encoded) throws StatisticsException {
        if (adopt(key.toString(), encoded)) {
            observedKeys.add(key);
            loadTimesMs.putIfAbsent(key, Math.max(1, encoded.get(0).longValue()));
        }
    }

    /** Takes over what another node knows of the demand for all models together, if that is more. */
    public synchronized void adoptFleetStatistics(List<Double> encoded) throws StatisticsException {
        adopt(KeepAlivePolicy.ALL_MODELS, encoded);
    }

    private boolean adopt(String name, List<Double> encoded) throws StatisticsException {
        if (encoded.size() < HEADER_LENGTH) {
            return false;
        }
        List<Double> values = encoded.subList(HEADER_LENGTH, encoded.size());
        return policy.adopt(name, new DemandStatistics(encoded.get(1).longValue(), values));
    }

    /** Returns the models and adapters whose demand is known. */
    public Set<LoadKey> observedKeys() {
        return Set.copyOf(observedKeys);
    }

    /** Returns what an idle model is worth to keep. */
    public synchronized double retentionValue(LoadKey key, long nowMs) {
        return policy.retentionValue(key.toString(), cost(key), nowMs);
    }

    private ModelCost cost(LoadKey key) {
        double accelerators = key.adapter().isPresent() ? ADAPTER_ACCELERATORS : BASE_ACCELERATORS;
        return new ModelCost(accelerators, expectedLoadMs(key), coldStartWeight(key));
    }

    private double coldStartWeight(LoadKey key) {
        return configuration.get().deployments().stream()
                .filter(deployment -> deployment.model().equals(key.model().model()))
                .mapToDouble(Deployment::coldStartWeight)
                .max()
                .orElse(0);
    }
}
