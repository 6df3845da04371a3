package io.persimmonstack.coordination.policy;

/**
 * Observed demand for all models together, used as a prior for models with few observations of their own.
 *
 * @param gaps gaps within sessions
 * @param waits estimator of the requests that wait for a cold start
 * @param profile demand by time of the day
 */
record FleetDemand(GapHistogram gaps, ColdStartWaitEstimator waits, DailyProfile profile) {
    private static final int FORMAT_VERSION = 1;

    static FleetDemand empty() {
        return new FleetDemand(GapHistogram.forFleet(), ColdStartWaitEstimator.forFleet(), DailyProfile.flat());
    }

    /** Returns the number of sessions that were observed. */
    long observations() {
        return profile.sessions();
    }

    DemandStatistics statistics() {
        StatisticsWriter writer = new StatisticsWriter().add(FORMAT_VERSION);
        gaps.write(writer);
        waits.write(writer);
        profile.write(writer);
        return new DemandStatistics(observations(), writer.numbers());
    }

    /** Restores the demand from what {@link #statistics} returned. */
    static FleetDemand of(DemandStatistics statistics) throws StatisticsException {
        StatisticsReader reader = new StatisticsReader(statistics.numbers());
        if (reader.nextLong() != FORMAT_VERSION) {
            throw new StatisticsException("unknown format of the statistics: expected format " + FORMAT_VERSION);
        }
        FleetDemand fleet = empty();
        fleet.gaps.read(reader);
        fleet.waits.read(reader);
        fleet.profile.read(reader);
        return fleet;
    }
}
