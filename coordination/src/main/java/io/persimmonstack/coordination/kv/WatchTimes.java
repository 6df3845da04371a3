package io.persimmonstack.coordination.kv;

/**
 * Durations of the polls of a watch. They follow from the time within which a change must be reported, even if the
 * connection falls silent: at worst it does so just after an answer, so that the pause, the next poll and its timeout
 * pass in vain, and the poll has to be repeated on a new connection. All of this fits into that time.
 *
 * @param pauseMs pause before a poll, in which changes are collected, in milliseconds
 * @param holdMs how long the store may hold a poll open while there are no changes, in milliseconds
 * @param answerMs timeout of a poll beyond the time for which it is held open, in milliseconds
 * @param repeatMs time that remains to repeat a poll on a new connection, in milliseconds
 */
public record WatchTimes(int pauseMs, int holdMs, int answerMs, int repeatMs) {
    private static final int MIN_LIMIT_MS = 100;
    private static final double MAX_PAUSE_SHARE = 0.45;
    private static final double HOLD_SHARE = 0.2;
    private static final double ANSWER_SHARE = 0.2;

    /**
     * Returns the durations for a limit.
     *
     * @param limitMs time within which a change must be reported, in milliseconds
     * @param wantedPauseMs pause before a poll, in milliseconds; shortened if the limit requires it
     */
    public static WatchTimes within(int limitMs, int wantedPauseMs) {
        if (limitMs < MIN_LIMIT_MS) {
            throw new IllegalArgumentException("limitMs " + limitMs + ": expected at least " + MIN_LIMIT_MS + " ms");
        }
        int pauseMs = Math.min(wantedPauseMs, (int) (MAX_PAUSE_SHARE * limitMs));
        int holdMs = (int) (HOLD_SHARE * limitMs);
        int answerMs = (int) (ANSWER_SHARE * limitMs);
        return new WatchTimes(pauseMs, holdMs, answerMs, limitMs - pauseMs - holdMs - answerMs);
    }
}
