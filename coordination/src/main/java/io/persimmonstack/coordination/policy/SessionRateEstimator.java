package io.persimmonstack.coordination.policy;

/**
 * Rate at which a model's sessions begin while it is idle. A session begins with a request after a pause. The rate is
 * the sum of a base rate that follows the fleet's daily profile and of the model's own habit of waking at a certain
 * time of the day. Time within a session does not count, because no session can begin in it.
 */
final class SessionRateEstimator {
    private static final double DECAY_TIME_MS = 1.5 * 86_400_000;
    private static final double PRIOR_SESSIONS = 0.5;
    private static final double PRIOR_EXPOSURE_MS = 21_600_000;
    private final DailySessionPattern dailyPattern;
    private double sessions = PRIOR_SESSIONS;
    private double idleExposureMs = PRIOR_EXPOSURE_MS;
    private double currentIdleMs;
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
        double currentIdleMs = reader.nextDouble();
        SessionRateEstimator rate = new SessionRateEstimator(DailySessionPattern.of(reader), updatedMs);
        rate.sessions = sessions;
        rate.idleExposureMs = idleExposureMs;
        rate.currentIdleMs = currentIdleMs;
        return rate;
    }

    void write(StatisticsWriter writer) {
        writer.add(updatedMs).add(sessions).add(idleExposureMs).add(currentIdleMs);
        dailyPattern.write(writer);
    }

    /** Counts a request that begins a session. */
    void beginSession(DailyProfile profile, long nowMs) {
        advance(profile, nowMs);
        idleExposureMs += currentIdleMs;
        currentIdleMs = 0;
        sessions += 1;
        dailyPattern.addSession(nowMs);
    }

    /** Notes a request within a session. */
    void continueSession(DailyProfile profile, long nowMs) {
        advance(profile, nowMs);
        currentIdleMs = 0;
    }

    /** Returns the expected count of sessions a millisecond at the given time. */
    double sessionsPerMs(DailyProfile profile, long nowMs) {
        advance(profile, nowMs);
        double basePerMs = sessions / (idleExposureMs + currentIdleMs) * profile.relativeDemand(nowMs);
        return basePerMs + dailyPattern.excessPerMs(basePerMs, nowMs);
    }

    private void advance(DailyProfile profile, long nowMs) {
        while (updatedMs < nowMs) {
            long untilMs = Math.min(nowMs, DailyProfile.slotEndMs(updatedMs));
            double retained = Math.exp(-(untilMs - updatedMs) / DECAY_TIME_MS);
            idleExposureMs *= retained;
            currentIdleMs = currentIdleMs * retained + (untilMs - updatedMs) * profile.relativeDemand(updatedMs);
            sessions *= retained;
            updatedMs = untilMs;
        }
    }
}
