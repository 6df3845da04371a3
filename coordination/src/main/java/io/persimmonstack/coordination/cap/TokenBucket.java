package io.persimmonstack.coordination.cap;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tokens of one workspace in one slot. It starts empty, so that a slot that changes its holder never has its capacity
 * twice within a window.
 *
 * <p>Tokens that were taken and not used can be given back. The level is then what it would be had they never been
 * taken: inflow that a fuller bucket would have lost is not credited. Otherwise taking and giving back in turn would
 * gather more than the capacity. Not thread-safe; times are monotonic.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Number of peaks that are kept; tokens taken before the oldest are not credited. */
    private static final int MAX_PEAKS = 256;
    /** Rounding errors of the level must not keep a full bucket from being full. */
    private static final double EPSILON = 1e-6;

    private final Deque<Peak> peaks = new ArrayDeque<>();
    private CapShare share;
    private double level;
    private long updatedNanos;
    private long oldestStamp;

    /** Level just before the take with this stamp, after credits for earlier takes. */
    private static final class Peak {
        private final long stamp;
        private double level;

        private Peak(long stamp, double level) {
            this.stamp = stamp;
            this.level = level;
        }
    }

    /**
     * Creates an empty bucket.
     *
     * @param share rate and capacity
     * @param startNanos time from which tokens flow in
     * @param oldestStamp lowest stamp of a take from this bucket
     */
    TokenBucket(CapShare share, long startNanos, long oldestStamp) {
        this.share = share;
        this.updatedNanos = startNanos;
        this.oldestStamp = oldestStamp;
    }

    /** Applies a change of the cap from now on; tokens taken before are not credited any more. */
    void reshape(CapShare newShare, long nowNanos, long nextStamp) {
        if (newShare.equals(share)) {
            return;
        }
        refill(nowNanos);
        share = newShare;
        level = Math.min(level, newShare.capacity());
        peaks.clear();
        oldestStamp = nextStamp;
    }

    /**
     * Takes the tokens that a request needs, if they are there.
     *
     * @param need tokens that the request counts
     * @param stamp names this take when tokens of it are given back; higher than that of all takes before
     * @return whether they were taken
     */
    boolean tryTake(double need, long stamp, long nowNanos) {
        if (waitNanos(need, nowNanos) == 0) {
            record(stamp);
            level -= need;
            return true;
        }
        return false;
    }

    /** Takes more tokens under the stamp of the last take, at most a share of what is there; returns how many. */
    long takeAhead(double wanted, double maxShare) {
        long taken = (long) Math.max(0, Math.min(wanted, maxShare * level));
        level -= taken;
        return taken;
    }

    /** Returns the level. */
    double level(long nowNanos) {
        refill(nowNanos);
        return level;
    }

    /** Returns how long it takes until so many tokens as are missing have flowed in. */
    long waitNanos(double need, long nowNanos) {
        refill(nowNanos);
        double missing = need - level;
        return missing <= EPSILON ? 0 : nanosFor(missing);
    }

    /** Gives back tokens of an earlier take. */
    void giveBack(double tokens, long stamp, long nowNanos) {
        refill(nowNanos);
        if (stamp < oldestStamp) {
            return;
        }
        double highest = level;
        for (Peak peak : peaks) {
            highest = peak.stamp > stamp ? Math.max(highest, peak.level) : highest;
        }
        double credit = Math.max(0, Math.min(tokens, share.capacity() - highest));
        level += credit;
        for (Peak peak : peaks) {
            peak.level += peak.stamp > stamp ? credit : 0;
        }
    }

    private long nanosFor(double tokens) {
        return (long) Math.ceil(tokens / share.ratePerSecond() * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        if (nowNanos > updatedNanos) {
            double inflow = share.ratePerSecond() * (nowNanos - updatedNanos) / NANOS_PER_SECOND;
            level = Math.min(share.capacity(), level + inflow);
            updatedNanos = nowNanos;
        }
    }

    private void record(long stamp) {
        while (!peaks.isEmpty() && peaks.peekLast().level <= level) {
            peaks.removeLast();
        }
        peaks.addLast(new Peak(stamp, level));
        if (peaks.size() > MAX_PEAKS) {
            oldestStamp = peaks.removeFirst().stamp;
        }
    }
}
