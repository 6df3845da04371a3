package io.persimmonstack.backends.http;

import java.util.concurrent.TimeUnit;

/** Limits of time and memory for one body that is read as a whole. Not thread-safe. */
final class BodyLimit implements AutoCloseable {
    /** Size up to which a body needs no shared memory. */
    private static final int SMALL_BODY_BYTES = 8 * 1024;
    /** Copies of a body that exist at a time: its parts, and the array to which they are joined. */
    private static final int COPIES = 2;

    private final BodyMemory memory;
    private final long deadlineNanos;
    private long receivedBytes;
    private long reservedBytes;

    private BodyLimit(BodyMemory memory, long deadlineNanos) {
        this.memory = memory;
        this.deadlineNanos = deadlineNanos;
    }

    /** Returns a limit that begins now, with the longest time in milliseconds. */
    static BodyLimit of(int timeoutMs, BodyMemory memory) {
        return until(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs), memory);
    }

    /** Returns a limit that ends at a monotonic time. */
    static BodyLimit until(long deadlineNanos, BodyMemory memory) {
        return new BodyLimit(memory, deadlineNanos);
    }

    /** Returns the time left now, in milliseconds. */
    int remainingMs() {
        return remainingMs(System.nanoTime());
    }

    /**
     * Returns the time left, in milliseconds; 0 from the deadline on. Rounded up: a read that ended before the deadline
     * would be taken for a failure of the peer.
     */
    int remainingMs(long nowNanos) {
        long remainingMs = Math.ceilDiv(deadlineNanos - nowNanos, TimeUnit.MILLISECONDS.toNanos(1));
        return (int) Math.clamp(remainingMs, 0, Integer.MAX_VALUE);
    }

    /** Counts received bytes, and returns whether there is memory for them. */
    boolean admits(int bytes) {
        receivedBytes += bytes;
        long missingBytes = COPIES * (receivedBytes - SMALL_BODY_BYTES) - reservedBytes;
        if (missingBytes <= 0) {
            return true;
        }
        if (!memory.tryReserve(missingBytes)) {
            return false;
        }
        reservedBytes += missingBytes;
        return true;
    }

    /** Frees the memory. */
    @Override
    public void close() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }
}
