package io.persimmonstack.node.config;

/**
 * Limit on what a workspace may use, over all nodes together.
 *
 * @param unit what is counted
 * @param ratePerSecond long-term rate, in units per second
 * @param burst units that may be used beyond the rate at once
 * @param plainTokens tokens that a request without a token count is counted as
 */
public record UsageCap(Unit unit, double ratePerSecond, double burst, long plainTokens) {
    /** What a cap counts. */
    public enum Unit {
        REQUESTS,
        TOKENS
    }
}
