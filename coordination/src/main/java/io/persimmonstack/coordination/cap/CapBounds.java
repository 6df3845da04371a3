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
    /**
     * Part of the slack that debts may take at one moment. The other half covers debts that are forgotten when a slot
     * changes its holder.
     */
    private static final double DEBT_SHARE = 0.5;

    /**
     * Returns for how long a holder may use its slots after it sent the report that the leader answered, in
     * milliseconds.
     */
    public long rightMs() {
        return windowMs;
    }

    /**
     * Returns for how long a node may use granted tokens, in milliseconds. Tokens that were granted before a window may
     * be used in it, which adds the inflow of this time to the usage.
     */
    public long grantMs() {
        return Math.max(MIN_GRANT_MS, Math.round(overshoot * windowMs));
    }

    /** Returns the highest sum of the debts of all slots of a workspace, in tokens. */
    public double maxDebtTokens() {
        return DEBT_SHARE * slackTokens;
    }
}
