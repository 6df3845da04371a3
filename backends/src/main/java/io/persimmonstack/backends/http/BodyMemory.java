package io.persimmonstack.backends.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory that the large bodies of concurrent calls share, so that several endless bodies together cannot fill the heap.
 * Small bodies need none of it. Thread-safe.
 */
final class BodyMemory {
    private final AtomicLong freeBytes;

    private BodyMemory(long bytes) {
        this.freeBytes = new AtomicLong(bytes);
    }

    /** Returns a memory of the given size, in bytes. */
    static BodyMemory ofBytes(long bytes) {
        return new BodyMemory(bytes);
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
