package io.persimmonstack.node.placing;

/**
 * Limits of a {@link RetryBudget}.
 *
 * @param ratio retries allowed per request received within the window
 * @param slack additional retries allowed within the window, for all nodes together
 * @param windowNanos length of the window, in nanoseconds
 */
public record RetryBudgetOptions(double ratio, double slack, long windowNanos) {}
