package io.persimmonstack.node.placing;

/**
 * Share of the requests for one service that the nodes of a zone send to other zones. It grows while waiting in the
 * zone takes longer than in the other zones by more than the price, and falls while the difference is smaller: so it
 * settles where both are equal. Each node computes the share from what it knows and applies it to its own requests, so
 * that all nodes together send that share although they act on pictures that are 250 ms old. Callers pass the time. Not
 * thread-safe.
 */
final class ZoneBalance {
    /** Shortest interval between two changes. */
    private static final long INTERVAL_NANOS = 100_000_000L;
    /** Longest interval that counts, so that a share does not jump after a pause. */
    private static final double MAX_SECONDS = 0.25;
    /**
     * Change in a second for a difference of 1. Requests that leave show in the pictures after half a second and the
     * time of a request; faster changes than this would overshoot.
     */
    private static final double GAIN_PER_SECOND = 0.6;
    /** Largest difference that counts. */
    private static final double MAX_DIFFERENCE = 0.5;
    /** Difference up to which the share stays as it is. */
    private static final double HYSTERESIS = 0.05;
    /** Difference from which on the first requests leave. */
    private static final double START = 0.15;
    /** Share below which none leave. */
    private static final double MIN_SHARE = 0.01;

    /** Time constant of the mean of the waiting requests: one node has few. */
    private static final double WAITING_SECONDS = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private double share;
    private double waiting;
    private boolean updated;
    private long updatedNanos;

    /** Returns whether enough time has passed for the next update. */
    boolean isDue(long nowNanos) {
        return !updated || nowNanos - updatedNanos >= INTERVAL_NANOS;
    }

    /** Adds the number of requests that wait in the zone now, and returns its mean. */
    double meanWaiting(double waitingNow, long nowNanos) {
        double weight = updated ? 1 - Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND / WAITING_SECONDS) : 1;
        waiting += weight * (waitingNow - waiting);
        return waiting;
    }

    /**
     * Changes the share.
     *
     * @param home load of the runners in the zone of the node
     * @param away load of the usable runners in other zones
     * @param price price of sending a usual request there
     * @param nowNanos monotonic time
     */
    void update(ZoneLoad home, ZoneLoad away, double price, long nowNanos) {
        double seconds = updated ? Math.min(MAX_SECONDS, (nowNanos - updatedNanos) / NANOS_PER_SECOND) : 0;
        updated = true;
        updatedNanos = nowNanos;
        double saved = away.places() == 0 ? -MAX_DIFFERENCE : home.waitingTime() - away.waitingTime() - price;
        double difference = Math.clamp(saved, -MAX_DIFFERENCE, MAX_DIFFERENCE);
        boolean starts = share > 0 || difference > START;
        if (starts && Math.abs(difference) > HYSTERESIS) {
            share = Math.clamp(share + GAIN_PER_SECOND * difference * seconds, 0, 1);
        }
        if (difference < 0 && share < MIN_SHARE) {
            share = 0;
        }
    }

    /** Returns the share of the requests that leave the zone, from 0 to 1. */
    double share() {
        return share;
    }
}
