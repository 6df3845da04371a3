package io.persimmonstack.node.placing;

/**
 * Bounds of a {@link RepeatBudget}.
 *
 * @param ratio repeats for each request within the window
 * @param slack repeats within the window that all nodes may add together
 * @param windowNanos length of the window, in nanoseconds
 */
public record RepeatBudgetOptions(double ratio, double slack, long windowNanos) {}
