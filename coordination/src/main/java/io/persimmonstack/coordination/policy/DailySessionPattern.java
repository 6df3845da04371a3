package io.persimmonstack.coordination.policy;

import java.util.Arrays;

/**
 * Habit of a model to wake at a certain time of the day: for each short slot of the day, the share of days on which a
 * session began within the slots around it. Older days count less.
 */
final class DailySessionPattern {
    static final int SLOTS_PER_DAY = 288;
    private static final long SLOT_MS = 300_000;
    private static final int NEIGHBOUR_SLOTS = 1;
    private static final double WINDOW_MS = SLOT_MS * (2 * NEIGHBOUR_SLOTS + 1);
    private static final double LATEST_DAY_WEIGHT = 0.25;
    private static final int MIN_DAYS = 3;
    private static final double MIN_DAY_SHARE = 0.5;
    private static final double MIN_EXCESS_SHARE = 0.3;

    private final double[] dayShare = new double[SLOTS_PER_DAY];
    private final double[] startedToday = new double[SLOTS_PER_DAY];
    private long firstDay;
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

    /** Returns the end of the slot of a time. */
    static long slotEndMs(long atMs) {
        return Math.floorDiv(atMs, SLOT_MS) * SLOT_MS + SLOT_MS;
    }

    void addSession(long nowMs) {
        advance(nowMs);
        startedToday[slotOf(nowMs)] = 1;
    }

    /**
     * Returns the expected sessions a millisecond beyond those that the rate explains.
     *
     * @param basePerMs rate at which sessions begin at any time
     * @param nowMs current time
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

    private boolean anyStartedToday(int from, int to) {
        for (int slot = from; slot <= to; slot++) {
            if (startedToday[Math.floorMod(slot, SLOTS_PER_DAY)] > 0) {
                return true;
            }
        }
        return false;
    }

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
