package io.persimmonstack.coordination.cap;

/**
 * Bound on the usage of a workspace: within any window it may use (rate x window + burst) x (1 + overshoot) + slack.
 *
 * @param windowMs length of the window, in milliseconds
 * @param overshoot share by which usage may exceed the cap
 * @param slackTokens tokens by which usage may exceed that
 */
public record CapBounds(long windowMs, double overshoot, double slackTokens) {
    /** Shortest validity of a grant: the caller of a holder waits this long for its answer. */
    private static final long MIN_GRANT_MS = 150;
    /** Part of the overshoot that the validity of grants takes. */
    private static final double GRANT_SHARE = 0.5;
    /** Part of the overshoot that waits for tokens take. */
    private static final double WAIT_SHARE = 0.25;

    /**
     * Returns for how long a holder may use its slots after it sent the report that the leader answered, in
     * milliseconds.
     */
    public long rightMs() {
        return windowMs;
    }

    /**
     * Returns for how long a node may use granted tokens, in milliseconds. Tokens that were granted before a window
     * may be used in it, which adds the inflow of this time to the usage.
     */
    public long grantMs() {
        return Math.max(MIN_GRANT_MS, Math.round(GRANT_SHARE * overshoot * windowMs));
    }

    /**
     * Returns for how long a request may wait for tokens, in milliseconds. Requests that were received in a window
     * may take the inflow of this time after it.
     */
    public long maxWaitMs() {
        return Math.round(WAIT_SHARE * overshoot * windowMs);
    }

    /**
     * Returns the inflow of all buckets as a multiple of the rate. What grants and waits leave of the overshoot makes
     * up for tokens that are lost with their holder or expire unused.
     */
    public double inflowFactor() {
        return (1 + overshoot) * windowMs / (windowMs + grantMs() + maxWaitMs());
    }

    /** Returns by how many tokens the slots of a workspace together may hold more than its burst. */
    public double extraTokens() {
        return slackTokens;
    }
}
