package io.persimmonstack.coordination.policy;

import java.util.Arrays;

/**
 * Sessions of the whole fleet per quarter hour of the day, relative to the daily mean. Older days have less weight.
 */
final class DailyProfile {
    static final long SLOT_MS = 900_000;
    static final int SLOTS_PER_DAY = 96;
    /** Weight of the latest day; that of older days decays exponentially. */
    private static final double LATEST_DAY_WEIGHT = 0.3;
    /** Weight of the two neighbouring slots together when a day is smoothed. */
    private static final double NEIGHBOUR_WEIGHT = 0.5;

    private final double[] relativeDemand = new double[SLOTS_PER_DAY];
    private final double[] sessionsToday = new double[SLOTS_PER_DAY];
    /** Day that {@link #sessionsToday} refers to, in days since the epoch. */
    private long day = Long.MIN_VALUE;
    /** Whether the profile contains at least one day with sessions. */
    private boolean hasObservedDay;

    private long sessions;

    private DailyProfile() {
        Arrays.fill(relativeDemand, 1);
    }

    /** Returns a profile without observations, which has the mean demand at any time. */
    static DailyProfile flat() {
        return new DailyProfile();
    }

    /** Returns the number of sessions counted so far. */
    long sessions() {
        return sessions;
    }

    void write(StatisticsWriter writer) {
        writer.add(sessions)
                .add(day)
                .add(hasObservedDay ? 1 : 0)
                .writeSparse(relativeDemand)
                .writeSparse(sessionsToday);
    }

    /** Reads what {@link #write} wrote; the profile must be new. */
    void read(StatisticsReader reader) throws StatisticsException {
        sessions = reader.nextLong();
        day = reader.nextLong();
        hasObservedDay = reader.nextDouble() > 0;
        Arrays.fill(relativeDemand, 0);
        reader.readSparse(relativeDemand);
        reader.readSparse(sessionsToday);
    }

    /** Counts a session that begins now. */
    void addSession(long nowMs) {
        advance(nowMs);
        sessions++;
        sessionsToday[slotOf(nowMs)] += 1;
    }

    /** Returns the demand at a time as a multiple of the daily mean. */
    double relativeDemand(long atMs) {
        advance(atMs);
        return relativeDemand[slotOf(atMs)];
    }

    /** Returns the end of the slot that contains a time, in milliseconds since the epoch. */
    static long slotEndMs(long atMs) {
        return Math.floorDiv(atMs, SLOT_MS) * SLOT_MS + SLOT_MS;
    }

    static int slotOf(long atMs) {
        return (int) Math.floorMod(Math.floorDiv(atMs, SLOT_MS), (long) SLOTS_PER_DAY);
    }

    /** Returns the number of whole days since the epoch. */
    static long dayOf(long atMs) {
        return Math.floorDiv(atMs, SLOT_MS * SLOTS_PER_DAY);
    }

    /** Completes each day that has ended since the last call. */
    private void advance(long nowMs) {
        long currentDay = dayOf(nowMs);
        if (day == Long.MIN_VALUE) {
            day = currentDay;
        }
        while (day < currentDay) {
            endDay();
            day++;
        }
    }

    /** Adds the smoothed sessions of the day to the profile, unless there were none. */
    private void endDay() {
        double mean = Arrays.stream(sessionsToday).average().orElse(0);
        if (mean > 0) {
            double weight = hasObservedDay ? LATEST_DAY_WEIGHT : 1;
            for (int slot = 0; slot < SLOTS_PER_DAY; slot++) {
                double neighbours = (sessionsToday[(slot + SLOTS_PER_DAY - 1) % SLOTS_PER_DAY]
                                + sessionsToday[(slot + 1) % SLOTS_PER_DAY])
                        / 2;
                double smooth = (1 - NEIGHBOUR_WEIGHT) * sessionsToday[slot] + NEIGHBOUR_WEIGHT * neighbours;
                relativeDemand[slot] += weight * (smooth / mean - relativeDemand[slot]);
            }
            hasObservedDay = true;
        }
        Arrays.fill(sessionsToday, 0);
    }
}
