package io.persimmonstack.backends.http;

import java.util.concurrent.TimeUnit;

/**
 * Unit of a body that is being received, such as an event of a stream, and how long its parts have kept arriving
 * without completing it. Not thread-safe.
 */
final class BodyUnit {
    private static final int MAX_BYTES = 1 << 20;
    private final long startNanos = System.nanoTime();
    private long receivedBytes;
    private long lastPartMs;
    private long nextCheckMs;

    private BodyUnit() {}

    /** Returns a unit of which nothing has been received. */
    static BodyUnit begin() {
        return new BodyUnit();
    }

    /** Records a received part. */
    void record(int bytes) {
        receivedBytes += bytes;
        lastPartMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Returns how long after the beginning the last part arrived, in milliseconds; 0 if none did. */
    long lastPartMs() {
        return lastPartMs;
    }

    boolean isTooLarge() {
        return receivedBytes > MAX_BYTES;
    }

    /**
     * Returns whether parts have arrived for longer than a time, and the last check is an interval ago.
     *
     * @param silentAfterMs time after which a peer without a complete unit counts as silent, in milliseconds
     * @param intervalMs least time between two checks, in milliseconds
     */
    boolean isCheckDue(int silentAfterMs, int intervalMs) {
        if (lastPartMs < Math.max(silentAfterMs, nextCheckMs)) {
            return false;
        }
        nextCheckMs = lastPartMs + intervalMs;
        return true;
    }
}
