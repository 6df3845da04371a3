package io.persimmonstack.router.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that limits hedges, and retries of requests that may have run, to a tenth of the requests, so that they
 * cannot multiply the load during an outage. Thread-safe.
 */
public final class RetryBudget {
    private static final long MILLI_TOKENS_PER_RETRY = 1_000;
    private static final long MILLI_TOKENS_PER_REQUEST = 100;
    private static final long MAX_MILLI_TOKENS = 20_000;
    private final AtomicLong milliTokens = new AtomicLong(MAX_MILLI_TOKENS);

    private RetryBudget() {}

    /** Returns a full budget, which allows a burst of 20 retries. */
    public static RetryBudget full() {
        return new RetryBudget();
    }

    /** Counts a request, which adds a tenth of a retry to the budget. */
    public void earn() {
        milliTokens.updateAndGet(current -> Math.min(MAX_MILLI_TOKENS, current + MILLI_TOKENS_PER_REQUEST));
    }

    /** Returns whether the budget allows a retry now, without taking it. */
    public boolean available() {
        return milliTokens.get() >= MILLI_TOKENS_PER_RETRY;
    }

    /**
     * Takes one retry from the budget.
     *
     * @return whether the budget allowed it
     */
    public boolean spend() {
        long before = milliTokens.getAndUpdate(
                current -> current >= MILLI_TOKENS_PER_RETRY ? current - MILLI_TOKENS_PER_RETRY : current);
        return before >= MILLI_TOKENS_PER_RETRY;
    }
}
