package io.persimmonstack.coordination.policy;

/**
 * Estimates how many requests wait for a cold start at the start of a session. Each request counts with the share of
 * the load time that it waits. The estimate is an exponentially weighted mean; the fleet's mean stands in while a model
 * has had few sessions.
 */
final class ColdStartWaitEstimator {
    /** Weight that remains of older sessions with each new session of a model. */
    private static final double MODEL_DECAY = 0.95;
    /** The same for the sessions of all models, which are more frequent. */
    private static final double FLEET_DECAY = 0.998;

    private final double decay;
    private double weightedSum;
    private double weight;

    private ColdStartWaitEstimator(double decay) {
        this.decay = decay;
    }

    static ColdStartWaitEstimator forModel() {
        return new ColdStartWaitEstimator(MODEL_DECAY);
    }

    static ColdStartWaitEstimator forFleet() {
        return new ColdStartWaitEstimator(FLEET_DECAY);
    }

    /** Adds a session, with the number of requests that a cold start at its start would make wait. */
    void add(double waitingRequests) {
        weightedSum = decay * weightedSum + (1 - decay) * waitingRequests;
        weight = decay * weight + (1 - decay);
    }

    void write(StatisticsWriter writer) {
        writer.add(weightedSum).add(weight);
    }

    /** Replaces the content by what {@link #write} wrote. */
    void read(StatisticsReader reader) throws StatisticsException {
        weightedSum = reader.nextDouble();
        weight = reader.nextDouble();
    }

    /**
     * Returns the mean number of waiting requests. The weight that a model with few sessions lacks goes to the fleet's
     * mean, or to 1 if the fleet has no sessions either.
     */
    double mean(ColdStartWaitEstimator fleet) {
        double fleetMean = fleet.weight == 0 ? 1 : fleet.weightedSum / fleet.weight;
        return weightedSum + (1 - weight) * fleetMean;
    }
}
