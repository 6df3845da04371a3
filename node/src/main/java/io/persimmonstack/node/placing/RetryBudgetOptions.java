package io.persimmonstack.node.placing;

/**
 * Bounds of a {@link RetryBudget}.
 *
 * @param ratio repeats for each request within the window
 * @param slack repeats within the window that all nodes may add together
 * @param windowNanos length of the window, in nanoseconds
 */
public record RetryBudgetOptions(double ratio, double slack, long windowNanos) {}
