package io.persimmonstack.node.placing;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Share of one node in the scarce room of the cache of one runner: all nodes see the same room, and each claims it only
 * with the probability with which all of them together claim as much as there is. Not thread-safe.
 */
final class MemoryShare {
    /** Time for which a draw counts: while requests wait, nodes report each 50 ms, and learn of it 50 ms later. */
    private static final long DRAW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Longest time for which requests are assumed to have gathered at the nodes. */
    private static final long MAX_SCARCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double NANOS_PER_SECOND = 1e9;

    private boolean scarce;
    private long scarceSinceNanos;
    private long scarceNanos;
    private boolean drawn;
    private long drawnNanos;
    private double draw;

    /** Records that room is scarce: a request of this node found too little or needs a claim. */
    void markScarce(long nowNanos) {
        if (scarceSeconds(nowNanos) == 0) {
            scarceSinceNanos = nowNanos;
        }
        scarce = true;
        scarceNanos = nowNanos;
    }

    /** Returns for how long room has been scarce, in seconds, within limits. */
    double scarceSeconds(long nowNanos) {
        if (scarce && nowNanos - scarceNanos > MAX_SCARCE_NANOS) {
            scarce = false;
        }
        return scarce ? Math.min(MAX_SCARCE_NANOS, nowNanos - scarceSinceNanos) / NANOS_PER_SECOND : 0;
    }

    /**
     * Draws whether this node may claim room now.
     *
     * @param probability probability with which it may
     * @param random source of the draw
     * @param nowNanos monotonic time
     */
    boolean draw(double probability, RandomGenerator random, long nowNanos) {
        markScarce(nowNanos);
        if (!drawn || nowNanos - drawnNanos > DRAW_NANOS) {
            drawn = true;
            drawnNanos = nowNanos;
            draw = random.nextDouble();
        }
        return draw < probability;
    }

    /** Records that room was claimed; the next claim needs a draw of its own. */
    void use() {
        draw = 1;
    }
}
