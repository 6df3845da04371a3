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

/**
 * Tracks the demand for models and how long their loads take, and answers from them when to keep, unload or preload a
 * model. Serialises access to the {@link KeepAlivePolicy}, which is not thread-safe; this class is.
 */
public final class DemandTracker {
    /** Accelerators that a loaded base model is charged for; an adapter is charged for a small part of one. */
    private static final double BASE_ACCELERATORS = 1;

    private static final double ADAPTER_ACCELERATORS = 0.05;
    private static final long DEFAULT_LOAD_TIME_MS = 10_000;
    /** Weight of the latest load in the moving average of load times. */
    private static final double LATEST_LOAD_WEIGHT = 0.5;
    /** Numbers that precede the policy's own in encoded statistics: the expected load time and the observations. */
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
     * Creates a tracker without observations.
     *
     * @param policy learns the demand and computes keep-alive times
     * @param configuration supplies the active configuration, for the cold-start weights
     * @param minKeepAliveMs minimum keep-alive, so that a model is not unloaded before the requests for it arrive
     * @return the tracker
     */
    public static DemandTracker of(
            KeepAlivePolicy policy, Supplier<FleetConfiguration> configuration, long minKeepAliveMs) {
        return new DemandTracker(policy, configuration, minKeepAliveMs);
    }

    /** Records a request for a model or adapter at the given wall-clock time. */
    public synchronized void observe(LoadKey key, long atMs) {
        observedKeys.add(key);
        policy.observe(key.toString(), cost(key), atMs);
    }

    /** Adds the duration of a finished load to the moving average of the key's load times. */
    public void recordLoadTime(LoadKey key, long durationMs) {
        loadTimesMs.merge(key, Math.max(1, durationMs), (average, latest) ->
                (long) (average * (1 - LATEST_LOAD_WEIGHT) + latest * LATEST_LOAD_WEIGHT));
    }

    /** Returns the expected duration of a load, a default where none was recorded. */
    public long expectedLoadMs(LoadKey key) {
        return loadTimesMs.getOrDefault(key, DEFAULT_LOAD_TIME_MS);
    }

    /** Returns how long a model that is idle since the given wall-clock time stays loaded, in milliseconds. */
    public synchronized long keepAliveMs(LoadKey key, long idleSinceMs) {
        return Math.max(minKeepAliveMs, policy.keepAliveMs(key.toString(), cost(key), idleSinceMs));
    }

    /** Returns whether demand is likely enough to keep an idle model loaded beyond its keep-alive. */
    public synchronized boolean shouldKeepLoaded(LoadKey key, long nowMs) {
        return policy.holdUntilMs(key.toString(), cost(key), nowMs) > nowMs;
    }

    /** Returns the time until which demand justifies preloading a model, or {@code nowMs} where it does not. */
    public synchronized long preloadUntilMs(LoadKey key, long nowMs) {
        return policy.preloadUntilMs(key.toString(), cost(key), nowMs);
    }

    /** Returns the number of requests that a model's statistics were learned from, 0 where there are none. */
    public synchronized long observations(LoadKey key) {
        return policy.observations(key.toString());
    }

    /**
     * Returns a model's statistics as sent to other nodes, or empty where there are none: the expected load time in
     * milliseconds, the number of observations, and the policy's numbers.
     */
    public synchronized Optional<List<Double>> statistics(LoadKey key) {
        return policy.statistics(key.toString()).map(statistics -> encode(expectedLoadMs(key), statistics));
    }

    /** Returns the statistics over all models as sent to other nodes, or empty where there are none. */
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

    /**
     * Adopts another node's statistics of a model if they were learned from more requests than this node's.
     *
     * @param key model or adapter
     * @param encoded statistics as returned by {@link #statistics}
     * @throws StatisticsException if they cannot be read; nothing has changed
     */
    public synchronized void adopt(LoadKey key, List<Double> encoded) throws StatisticsException {
        if (adopt(key.toString(), encoded)) {
            observedKeys.add(key);
            loadTimesMs.putIfAbsent(key, Math.max(1, encoded.get(0).longValue()));
        }
    }

    /**
     * Adopts another node's statistics over all models if they were learned from more requests than this node's.
     *
     * @param encoded statistics as returned by {@link #fleetStatistics}
     * @throws StatisticsException if they cannot be read; nothing has changed
     */
    public synchronized void adoptFleetStatistics(List<Double> encoded) throws StatisticsException {
        adopt(KeepAlivePolicy.ALL_MODELS, encoded);
    }

    /** Adopts encoded statistics; returns false if they are too short or not learned from more requests. */
    private boolean adopt(String name, List<Double> encoded) throws StatisticsException {
        if (encoded.size() < HEADER_LENGTH) {
            return false;
        }
        List<Double> values = encoded.subList(HEADER_LENGTH, encoded.size());
        return policy.adopt(name, new DemandStatistics(encoded.get(1).longValue(), values));
    }

    /** Returns the models and adapters that have demand statistics. */
    public Set<LoadKey> observedKeys() {
        return Set.copyOf(observedKeys);
    }

    /** Returns the value of keeping an idle model loaded; under memory pressure the lowest is evicted first. */
    public synchronized double retentionValue(LoadKey key, long nowMs) {
        return policy.retentionValue(key.toString(), cost(key), nowMs);
    }

    private ModelCost cost(LoadKey key) {
        double accelerators = key.adapter().isPresent() ? ADAPTER_ACCELERATORS : BASE_ACCELERATORS;
        return new ModelCost(accelerators, expectedLoadMs(key), coldStartWeight(key));
    }

    /** Returns the highest cold-start weight of the deployments of a model, 0 if there are none. */
    private double coldStartWeight(LoadKey key) {
        return configuration.get().deployments().stream()
                .filter(deployment -> deployment.model().equals(key.model().model()))
                .mapToDouble(Deployment::coldStartWeight)
                .max()
                .orElse(0);
    }
}
