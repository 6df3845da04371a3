package io.persimmonstack.coordination.policy;

/**
 * How many requests a cold start at the begin of a session makes wait, each counted by the share of the load that it
 * waits for. A model that has seen few sessions borrows the fleet's mean.
 */
final class ColdStartWaitEstimator {
    private static final double MODEL_DECAY = 0.95;
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

    void add(double waitingRequests) {
        weightedSum = decay * weightedSum + (1 - decay) * waitingRequests;
        weight = decay * weight + (1 - decay);
    }

    void write(StatisticsWriter writer) {
        writer.add(weightedSum).add(weight);
    }

    void read(StatisticsReader reader) throws StatisticsException {
        weightedSum = reader.nextDouble();
        weight = reader.nextDouble();
    }

    /** Returns the mean, with the fleet's in place of what was not seen yet. */
    double mean(ColdStartWaitEstimator fleet) {
        double fleetMean = fleet.weight == 0 ? 1 : fleet.weightedSum / fleet.weight;
        return weightedSum + (1 - weight) * fleetMean;
    }
}
