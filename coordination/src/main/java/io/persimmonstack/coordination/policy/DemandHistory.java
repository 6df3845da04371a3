package io.persimmonstack.coordination.policy;

/**
 * Observed demand for one model: gaps within sessions, requests waiting for cold starts and the rate of sessions. A
 * session ends when no request arrives for {@link #SESSION_TIMEOUT_MS}.
 */
final class DemandHistory {
    static final long SESSION_TIMEOUT_MS = 180_000;
    private static final int FORMAT_VERSION = 1;

    private final GapHistogram gaps;
    private final ColdStartWaitEstimator waits;
    private final SessionRateEstimator sessionRate;
    private long observations;
    private long lastRequestMs = Long.MIN_VALUE / 2;
    private long sessionStartMs = Long.MIN_VALUE / 2;
    /** Requests of the current session that a cold start at its start would make wait, weighted by their waits. */
    private double sessionWaits;

    private DemandHistory(GapHistogram gaps, ColdStartWaitEstimator waits, SessionRateEstimator sessionRate) {
        this.gaps = gaps;
        this.waits = waits;
        this.sessionRate = sessionRate;
    }

    /** Returns an empty history that begins at the given time. */
    static DemandHistory startingAt(long nowMs) {
        return new DemandHistory(
                GapHistogram.forModel(), ColdStartWaitEstimator.forModel(), SessionRateEstimator.startingAt(nowMs));
    }

    /** Counts a request in this history and in the fleet's demand. */
    void observe(FleetDemand fleet, long loadMs, long nowMs) {
        // Reports from several routers may arrive out of order.
        long gapMs = Math.max(0, nowMs - lastRequestMs);
        if (gapMs > SESSION_TIMEOUT_MS) {
            beginSession(fleet, nowMs);
        } else {
            gaps.add(gapMs);
            fleet.gaps().add(gapMs);
            sessionRate.continueSession(fleet.profile(), nowMs);
        }
        long sinceStartMs = Math.max(0, nowMs - sessionStartMs);
        sessionWaits += Math.max(0, 1 - sinceStartMs / (double) loadMs);
        lastRequestMs = Math.max(lastRequestMs, nowMs);
        observations++;
    }

    private void beginSession(FleetDemand fleet, long nowMs) {
        if (sessionWaits > 0) {
            waits.add(sessionWaits);
            fleet.waits().add(sessionWaits);
        }
        gaps.addSessionBreak();
        fleet.gaps().addSessionBreak();
        sessionRate.beginSession(fleet.profile(), nowMs);
        fleet.profile().addSession(nowMs);
        sessionStartMs = nowMs;
        sessionWaits = 0;
    }

    GapHistogram gaps() {
        return gaps;
    }

    long observations() {
        return observations;
    }

    boolean isInSession(long nowMs) {
        return nowMs - lastRequestMs < SESSION_TIMEOUT_MS;
    }

    /** Returns the expected number of sessions per millisecond at the given time. */
    double sessionsPerMs(FleetDemand fleet, long nowMs) {
        return sessionRate.sessionsPerMs(fleet.profile(), nowMs);
    }

    /** Returns the expected number of requests that wait for a cold start at the start of a session. */
    double expectedWaits(FleetDemand fleet) {
        return waits.mean(fleet.waits());
    }

    DemandStatistics statistics() {
        StatisticsWriter writer = new StatisticsWriter()
                .add(FORMAT_VERSION)
                .add(lastRequestMs)
                .add(sessionStartMs)
                .add(sessionWaits);
        gaps.write(writer);
        waits.write(writer);
        sessionRate.write(writer);
        return new DemandStatistics(observations, writer.numbers());
    }

    /** Restores a history from what {@link #statistics} returned. */
    static DemandHistory of(DemandStatistics statistics) throws StatisticsException {
        StatisticsReader reader = new StatisticsReader(statistics.numbers());
        if (reader.nextLong() != FORMAT_VERSION) {
            throw new StatisticsException("unknown format of the statistics: expected format " + FORMAT_VERSION);
        }
        long lastRequestMs = reader.nextLong();
        long sessionStartMs = reader.nextLong();
        double sessionWaits = reader.nextDouble();
        GapHistogram gaps = GapHistogram.forModel();
        gaps.read(reader);
        ColdStartWaitEstimator waits = ColdStartWaitEstimator.forModel();
        waits.read(reader);
        DemandHistory history = new DemandHistory(gaps, waits, SessionRateEstimator.of(reader));
        history.observations = statistics.observations();
        history.lastRequestMs = lastRequestMs;
        history.sessionStartMs = sessionStartMs;
        history.sessionWaits = sessionWaits;
        return history;
    }
}
