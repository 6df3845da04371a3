package io.persimmonstack.coordination.policy;

import java.util.Arrays;

/** Demand of the whole fleet by quarter hour of the day, relative to its mean, in which older days count less. */
final class DailyProfile {
    static final long SLOT_MS = 900_000;
    static final int SLOTS_PER_DAY = 96;
    private static final double LATEST_DAY_WEIGHT = 0.3;
    private static final double NEIGHBOUR_WEIGHT = 0.5;
    private final double[] relativeDemand = new double[SLOTS_PER_DAY];
    private final double[] sessionsToday = new double[SLOTS_PER_DAY];
    private long day = Long.MIN_VALUE;
    private boolean hasFullDay;
    private long sessions;

    private DailyProfile() {
        Arrays.fill(relativeDemand, 1);
    }

    static DailyProfile flat() {
        return new DailyProfile();
    }

    /** Returns the sessions counted so far. */
    long sessions() {
        return sessions;
    }

    void write(StatisticsWriter writer) {
        writer.add(sessions)
                .add(day)
                .add(hasFullDay ? 1 : 0)
                .writeSparse(relativeDemand)
                .writeSparse(sessionsToday);
    }

    void read(StatisticsReader reader) throws StatisticsException {
        sessions = reader.nextLong();
        day = reader.nextLong();
        hasFullDay = reader.nextDouble() > 0;
        Arrays.fill(relativeDemand, 0);
        reader.readSparse(relativeDemand);
        reader.readSparse(sessionsToday);
    }

    void addSession(long nowMs) {
        advance(nowMs);
        sessions++;
        sessionsToday[slotOf(nowMs)] += 1;
    }

    /** Returns demand at the given time as a multiple of the mean. */
    double relativeDemand(long atMs) {
        advance(atMs);
        return relativeDemand[slotOf(atMs)];
    }

    static long slotEndMs(long atMs) {
        return Math.floorDiv(atMs, SLOT_MS) * SLOT_MS + SLOT_MS;
    }

    static int slotOf(long atMs) {
        return (int) Math.floorMod(Math.floorDiv(atMs, SLOT_MS), (long) SLOTS_PER_DAY);
    }

    static long dayOf(long atMs) {
        return Math.floorDiv(atMs, SLOT_MS * SLOTS_PER_DAY);
    }

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

    private void endDay() {
        double mean = Arrays.stream(sessionsToday).average().orElse(0);
        if (mean > 0) {
            double weight = hasFullDay ? LATEST_DAY_WEIGHT : 1;
            for (int slot = 0; slot < SLOTS_PER_DAY; slot++) {
                double neighbours = (sessionsToday[(slot + SLOTS_PER_DAY - 1) % SLOTS_PER_DAY]
                                + sessionsToday[(slot + 1) % SLOTS_PER_DAY])
                        / 2;
                double smooth = (1 - NEIGHBOUR_WEIGHT) * sessionsToday[slot] + NEIGHBOUR_WEIGHT * neighbours;
                relativeDemand[slot] += weight * (smooth / mean - relativeDemand[slot]);
            }
            hasFullDay = true;
        }
        Arrays.fill(sessionsToday, 0);
    }
}
