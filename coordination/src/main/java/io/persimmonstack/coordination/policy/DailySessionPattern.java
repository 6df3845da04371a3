package io.persimmonstack.coordination.policy;

import java.util.Arrays;

/**
 * Learns at which times of the day sessions of a model begin regularly: for each five-minute slot of the day, the share
 * of days on which a session began in the slot or a neighbouring one. Older days have less weight.
 */
final class DailySessionPattern {
    static final int SLOTS_PER_DAY = 288;
    private static final long SLOT_MS = 300_000;
    private static final int NEIGHBOUR_SLOTS = 1;
    private static final double WINDOW_MS = SLOT_MS * (2 * NEIGHBOUR_SLOTS + 1);
    /** Weight of the latest day in the shares; that of older days decays exponentially. */
    private static final double LATEST_DAY_WEIGHT = 0.25;
    /** Days of observation before a pattern is used. */
    private static final int MIN_DAYS = 3;
    /** Share of days from which sessions in a slot count as recurring. */
    private static final double MIN_DAY_SHARE = 0.5;
    /** Amount by which the share must exceed that expected from the base rate alone. */
    private static final double MIN_EXCESS_SHARE = 0.3;

    /** By slot, the weighted share of days on which a session began in it or a neighbouring slot, 0 to 1. */
    private final double[] dayShare = new double[SLOTS_PER_DAY];
    /** By slot, 1 if a session began in it today, otherwise 0. */
    private final double[] startedToday = new double[SLOTS_PER_DAY];

    /** First day of observation, in days since the epoch. */
    private long firstDay;
    /** Day that {@link #startedToday} refers to, in days since the epoch. */
    private long day;

    private DailySessionPattern() {}

    static DailySessionPattern startingAt(long nowMs) {
        DailySessionPattern pattern = new DailySessionPattern();
        pattern.day = DailyProfile.dayOf(nowMs);
        pattern.firstDay = pattern.day;
        return pattern;
    }

    static DailySessionPattern of(StatisticsReader reader) throws StatisticsException {
        DailySessionPattern pattern = new DailySessionPattern();
        pattern.firstDay = reader.nextLong();
        pattern.day = reader.nextLong();
        reader.readSparse(pattern.dayShare);
        reader.readSparse(pattern.startedToday);
        return pattern;
    }

    void write(StatisticsWriter writer) {
        writer.add(firstDay).add(day).writeSparse(dayShare).writeSparse(startedToday);
    }

    /** Returns the end of the slot that contains a time, in milliseconds since the epoch. */
    static long slotEndMs(long atMs) {
        return Math.floorDiv(atMs, SLOT_MS) * SLOT_MS + SLOT_MS;
    }

    /** Counts a session that begins now. */
    void addSession(long nowMs) {
        advance(nowMs);
        startedToday[slotOf(nowMs)] = 1;
    }

    /**
     * Returns the expected number of sessions per millisecond in excess of the base rate. It is 0 unless sessions recur
     * around this time of the day and none has begun around it today.
     *
     * @param basePerMs base rate of sessions per millisecond, regardless of the pattern
     * @param nowMs current time in milliseconds since the epoch
     */
    double excessPerMs(double basePerMs, long nowMs) {
        advance(nowMs);
        int slot = slotOf(nowMs);
        double excess = dayShare[slot] - (1 - Math.exp(-basePerMs * WINDOW_MS));
        boolean recurring = day - firstDay >= MIN_DAYS && dayShare[slot] >= MIN_DAY_SHARE && excess >= MIN_EXCESS_SHARE;
        boolean alreadyStarted = anyStartedToday(slot - 2 * NEIGHBOUR_SLOTS - 1, slot);
        return recurring && !alreadyStarted ? excess / WINDOW_MS : 0;
    }

    private static int slotOf(long atMs) {
        return (int) Math.floorMod(Math.floorDiv(atMs, SLOT_MS), (long) SLOTS_PER_DAY);
    }

    /** Returns whether a session began today in the slots from {@code from} to {@code to}, which may wrap around. */
    private boolean anyStartedToday(int from, int to) {
        for (int slot = from; slot <= to; slot++) {
            if (startedToday[Math.floorMod(slot, SLOTS_PER_DAY)] > 0) {
                return true;
            }
        }
        return false;
    }

    /** Updates the shares with each day that has ended since the last call. */
    private void advance(long nowMs) {
        for (long currentDay = DailyProfile.dayOf(nowMs); day < currentDay; day++) {
            for (int slot = 0; slot < SLOTS_PER_DAY; slot++) {
                boolean started = anyStartedToday(slot - NEIGHBOUR_SLOTS, slot + NEIGHBOUR_SLOTS);
                dayShare[slot] += LATEST_DAY_WEIGHT * ((started ? 1 : 0) - dayShare[slot]);
            }
            Arrays.fill(startedToday, 0);
        }
    }
}
