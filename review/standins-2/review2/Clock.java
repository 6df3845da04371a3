package review2;

import java.util.function.BooleanSupplier;

/** Time since the start of a case, in milliseconds, and pauses. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a condition holds; returns whether it did in time. */
    static boolean await(long limitMs, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + limitMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                return false;
            }
            sleep(10);
        }
        return true;
    }
}
