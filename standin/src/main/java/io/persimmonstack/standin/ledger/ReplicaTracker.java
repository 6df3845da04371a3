package io.persimmonstack.standin.ledger;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the replicas of each model across all engines of the process. Replicas that are loading or unloading are
 * included. Thread-safe.
 */
public final class ReplicaTracker {
    private final Map<String, Integer> currentByModel = new TreeMap<>();
    private final Map<String, Integer> peakByModel = new TreeMap<>();
    private final Map<String, Integer> loadsByModel = new TreeMap<>();

    private ReplicaTracker() {}

    /** Returns a tracker without replicas. */
    public static ReplicaTracker create() {
        return new ReplicaTracker();
    }

    /**
     * Number of replicas of one model, summed over its versions.
     *
     * @param model name of the model
     * @param now current number of replicas
     * @param most highest number of replicas at the same time so far
     * @param loads number of loads started so far
     */
    public record Count(String model, int now, int most, int loads) {}

    /** Records that an engine reserved memory for a replica. */
    public synchronized void recordAdded(String model) {
        int current = currentByModel.merge(model, 1, Integer::sum);
        peakByModel.merge(model, current, Math::max);
        loadsByModel.merge(model, 1, Integer::sum);
    }

    /** Records that a replica was unloaded, failed to load or died with its engine. */
    public synchronized void recordRemoved(String model) {
        currentByModel.merge(model, -1, Integer::sum);
    }

    /** Returns the counts of all models that ever had a replica, sorted by name. */
    public synchronized List<Count> counts() {
        return peakByModel.entrySet().stream()
                .map(entry -> new Count(
                        entry.getKey(),
                        currentByModel.getOrDefault(entry.getKey(), 0),
                        entry.getValue(),
                        loadsByModel.getOrDefault(entry.getKey(), 0)))
                .toList();
    }
}
