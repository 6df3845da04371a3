package io.persimmonstack.node.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Finds times that the monotonic clock has missed, as it does while a machine is frozen, by the wall clock. An age by
 * the monotonic clock is too small by these. A wall clock that is set forward counts as such a time, one that is set
 * back does not. Thread-safe.
 */
final class ClockGaps {
    /** Smallest difference that counts; clocks are adjusted by less between two samples. */
    private static final long MIN_GAP_MS = 100;
    /** Largest distance between the readings of a sample; a thread that was suspended between them is no gap. */
    private static final long MAX_SAMPLE_NANOS = 10_000_000;
    /** Gaps that are kept; an age that includes more of them is far beyond all limits. */
    private static final int MAX_GAPS = 16;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Deque<Gap> gaps = new ArrayDeque<>();
    private boolean sampled;
    private long offsetMs;

    private record Gap(long foundNanos, long missedMs) {}

    /** Compares the clocks of the system now. */
    void sample() {
        long beforeNanos = System.nanoTime();
        long wallMs = System.currentTimeMillis();
        long afterNanos = System.nanoTime();
        if (afterNanos - beforeNanos <= MAX_SAMPLE_NANOS) {
            sample(afterNanos, wallMs);
        }
    }

    /**
     * Compares the clocks.
     *
     * @param nanos monotonic time
     * @param wallMs time of the wall clock at the same moment, in Unix milliseconds
     */
    synchronized void sample(long nanos, long wallMs) {
        long newOffsetMs = wallMs - Math.floorDiv(nanos, NANOS_PER_MS);
        if (sampled && newOffsetMs - offsetMs >= MIN_GAP_MS) {
            gaps.addLast(new Gap(nanos, newOffsetMs - offsetMs));
            if (gaps.size() > MAX_GAPS) {
                gaps.removeFirst();
            }
        }
        sampled = true;
        offsetMs = newOffsetMs;
    }

    /**
     * Returns the time that the monotonic clock has missed since a monotonic time, in milliseconds. A gap counts until
     * it was found, so that the result is rather too large than too small.
     */
    synchronized long missedMsSince(long nanos) {
        return gaps.stream()
                .filter(gap -> gap.foundNanos() - nanos > 0)
                .mapToLong(Gap::missedMs)
                .sum();
    }
}
