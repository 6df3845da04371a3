package io.persimmonstack.coordination.policy;

/**
 * Estimates the rate at which sessions of a model begin while it is idle. A session begins with the first request after
 * {@link DemandHistory#SESSION_TIMEOUT_MS} without one. The rate is the sum of a base rate, which follows the fleet's
 * daily profile, and of the model's own daily pattern. Time within a session does not count, because no session can
 * begin in it.
 */
final class SessionRateEstimator {
    /** Time constant of the exponential decay of older observations: 1.5 days. */
    private static final double DECAY_TIME_MS = 1.5 * 86_400_000;
    /** Sessions and idle time assumed before any observation: half a session in six hours. */
    private static final double PRIOR_SESSIONS = 0.5;

    private static final double PRIOR_EXPOSURE_MS = 21_600_000;
    private final DailySessionPattern dailyPattern;
    /** Decayed number of sessions. */
    private double sessions = PRIOR_SESSIONS;
    /** Idle time before earlier sessions, weighted by the fleet's demand profile and decayed. */
    private double idleExposureMs = PRIOR_EXPOSURE_MS;
    /** Time since the last request, weighted likewise; dropped if the next request belongs to the same session. */
    private double pendingIdleMs;

    /** Time up to which the observations have been decayed, in milliseconds since the epoch. */
    private long updatedMs;

    private SessionRateEstimator(DailySessionPattern dailyPattern, long updatedMs) {
        this.dailyPattern = dailyPattern;
        this.updatedMs = updatedMs;
    }

    static SessionRateEstimator startingAt(long nowMs) {
        return new SessionRateEstimator(DailySessionPattern.startingAt(nowMs), nowMs);
    }

    static SessionRateEstimator of(StatisticsReader reader) throws StatisticsException {
        long updatedMs = reader.nextLong();
        double sessions = reader.nextDouble();
        double idleExposureMs = reader.nextDouble();
        double pendingIdleMs = reader.nextDouble();
        SessionRateEstimator estimator = new SessionRateEstimator(DailySessionPattern.of(reader), updatedMs);
        estimator.sessions = sessions;
        estimator.idleExposureMs = idleExposureMs;
        estimator.pendingIdleMs = pendingIdleMs;
        return estimator;
    }

    void write(StatisticsWriter writer) {
        writer.add(updatedMs).add(sessions).add(idleExposureMs).add(pendingIdleMs);
        dailyPattern.write(writer);
    }

    /** Counts a request that begins a session. */
    void beginSession(DailyProfile profile, long nowMs) {
        advance(profile, nowMs);
        idleExposureMs += pendingIdleMs;
        pendingIdleMs = 0;
        sessions += 1;
        dailyPattern.addSession(nowMs);
    }

    /** Counts a request within a session; the time since the previous request was not idle. */
    void continueSession(DailyProfile profile, long nowMs) {
        advance(profile, nowMs);
        pendingIdleMs = 0;
    }

    /** Returns the expected number of sessions per millisecond at the given time. */
    double sessionsPerMs(DailyProfile profile, long nowMs) {
        advance(profile, nowMs);
        double basePerMs = sessions / (idleExposureMs + pendingIdleMs) * profile.relativeDemand(nowMs);
        return basePerMs + dailyPattern.excessPerMs(basePerMs, nowMs);
    }

    /** Decays the observations up to the given time and adds the elapsed time. */
    private void advance(DailyProfile profile, long nowMs) {
        while (updatedMs < nowMs) {
            long untilMs = Math.min(nowMs, DailyProfile.slotEndMs(updatedMs));
            double retained = Math.exp(-(untilMs - updatedMs) / DECAY_TIME_MS);
            idleExposureMs *= retained;
            pendingIdleMs = pendingIdleMs * retained + (untilMs - updatedMs) * profile.relativeDemand(updatedMs);
            sessions *= retained;
            updatedMs = untilMs;
        }
    }
}
