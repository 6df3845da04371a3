package io.persimmonstack.backends.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory that the large bodies of concurrent calls share, so that several endless bodies together cannot fill the heap.
 * Small bodies need none of it. Thread-safe.
 */
public final class BodyMemory {
    /** Share of the heap that large bodies may take. */
    private static final double HEAP_SHARE = 0.25;

    private final AtomicLong freeBytes;

    private BodyMemory(long bytes) {
        this.freeBytes = new AtomicLong(bytes);
    }

    /** Returns a memory of the given size, in bytes. */
    public static BodyMemory ofBytes(long bytes) {
        return new BodyMemory(bytes);
    }

    /** Returns a memory of a share of this process's heap. */
    static BodyMemory ofHeapShare() {
        return ofBytes((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /** Returns a memory that is never used up. */
    public static BodyMemory unlimited() {
        return ofBytes(Long.MAX_VALUE / 2);
    }

    /** Takes a number of bytes if they are free, and returns whether they were. */
    boolean tryReserve(long bytes) {
        if (freeBytes.addAndGet(-bytes) >= 0) {
            return true;
        }
        freeBytes.addAndGet(bytes);
        return false;
    }

    void release(long bytes) {
        freeBytes.addAndGet(bytes);
    }
}
