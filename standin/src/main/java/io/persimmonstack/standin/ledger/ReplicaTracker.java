package io.persimmonstack.standin.ledger;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Replicas of each model over all engines of the process; loading and unloading ones count. */
public final class ReplicaTracker {
    private final Map<String, Integer> currentByModel = new TreeMap<>();
    private final Map<String, Integer> peakByModel = new TreeMap<>();
    private final Map<String, Integer> loadsByModel = new TreeMap<>();

    private ReplicaTracker() {}

    /** Returns an empty ledger. */
    public static ReplicaTracker create() {
        return new ReplicaTracker();
    }

    /**
     * Replicas of one model, all versions together.
     *
     * @param model name of the model
     * @param now replicas now
     * @param most most replicas at once so far
     * @param loads loads so far
     */
    public record Count(String model, int now, int most, int loads) {}

    /** Records that a replica began to take memory. */
    public synchronized void recordAdded(String model) {
        int current = currentByModel.merge(model, 1, Integer::sum);
        peakByModel.merge(model, current, Math::max);
        loadsByModel.merge(model, 1, Integer::sum);
    }

    /** Records that a replica is gone. */
    public synchronized void recordRemoved(String model) {
        currentByModel.merge(model, -1, Integer::sum);
    }

    /** Returns the counts of all models seen, by name. */
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
