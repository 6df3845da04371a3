package io.persimmonstack.coordination.policy;

/**
 * What is known of the demand for all models together, which models that have seen little borrow.
 *
 * @param gaps gaps within sessions
 * @param waits requests that cold starts make wait
 * @param profile demand by the time of the day
 */
record FleetDemand(GapHistogram gaps, ColdStartWaitEstimator waits, DailyProfile profile) {
    private static final int FORMAT_VERSION = 1;

    static FleetDemand empty() {
        return new FleetDemand(GapHistogram.forFleet(), ColdStartWaitEstimator.forFleet(), DailyProfile.flat());
    }

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

    static FleetDemand of(DemandStatistics statistics) throws StatisticsException {
        StatisticsReader reader = new StatisticsReader(statistics.numbers());
        if (reader.nextLong() != FORMAT_VERSION) {
            throw new StatisticsException("layout is not " + FORMAT_VERSION);
        }
        FleetDemand fleet = empty();
        fleet.gaps.read(reader);
        fleet.waits.read(reader);
        fleet.profile.read(reader);
        return fleet;
    }
}
