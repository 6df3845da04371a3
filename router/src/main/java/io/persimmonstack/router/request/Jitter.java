package io.persimmonstack.router.request;

import java.util.concurrent.ThreadLocalRandom;

/** Randomises delays so that callers and retries do not return all at once. */
public final class Jitter {
    private static final double MIN_FACTOR = 0.5;

    private Jitter() {}

    /**
     * Returns a random delay, uniformly distributed between 0.5 and 1.5 times the given one.
     *
     * @param ms delay in milliseconds
     * @return randomised delay in milliseconds, at least 1
     */
    public static long spread(long ms) {
        double factor = MIN_FACTOR + ThreadLocalRandom.current().nextDouble();
        return Math.max(1, Math.round(ms * factor));
    }
}
