package io.persimmonstack.coordination.cap;

import java.util.concurrent.TimeUnit;

/**
 * Moment by both clocks of a process. The monotonic clock stops while the machine is frozen and the wall clock may be
 * set back, so the time since a moment is at least what either of them shows.
 *
 * @param monotonicNanos reading of the monotonic clock
 * @param wallMs reading of the wall clock, in Unix milliseconds
 */
public record ClockReading(long monotonicNanos, long wallMs) {
    /** Returns the present moment. */
    public static ClockReading now() {
        return new ClockReading(System.nanoTime(), System.currentTimeMillis());
    }

    /** Returns the time from an earlier moment to this one, in milliseconds: the larger of what the clocks show. */
    public long msSince(ClockReading earlier) {
        long monotonicMs = TimeUnit.NANOSECONDS.toMillis(monotonicNanos - earlier.monotonicNanos);
        return Math.max(monotonicMs, wallMs - earlier.wallMs);
    }
}
