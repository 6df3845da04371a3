package io.persimmonstack.runtime.http;

/**
 * Memory for data that has been received and not yet passed on: heads, bodies, and requests that wait. Reservations of
 * more than {@link #SMALL_BYTES} cannot use the last quarter, so that small requests are still accepted while large
 * ones fill the rest. Thread-safe.
 */
public final class ReceiveMemory {
    /** Size up to which a reservation may use all of the memory, in bytes. */
    public static final int SMALL_BYTES = 64 * 1024;

    /**
     * Part of the heap that received data may fill. The deployed heap of 72 MB holds 20 to 30 MB of live data, and the
     * collector needs room to copy.
     */
    private static final int HEAP_DIVISOR = 4;

    private static final int SMALL_SHARE_DIVISOR = 4;
    private final long capacityBytes;
    private final long largeCapacityBytes;
    private long usedBytes;
    private long largeBytes;
    private long lastShortageNanos;
    private boolean hadShortage;

    private ReceiveMemory(long capacityBytes) {
        this.capacityBytes = capacityBytes;
        this.largeCapacityBytes = capacityBytes - capacityBytes / SMALL_SHARE_DIVISOR;
    }

    /** Returns a memory of the given size, in bytes. */
    public static ReceiveMemory ofBytes(long bytes) {
        return new ReceiveMemory(bytes);
    }

    /** Returns a memory of a quarter of the process's largest heap. */
    public static ReceiveMemory ofHeap() {
        return ofBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Returns a new reservation, which holds nothing yet. */
    public Reservation open() {
        return new Reservation(SMALL_BYTES);
    }

    /** Returns a new reservation that counts as large whatever its size, for data that ordinary clients do not send. */
    public Reservation openLarge() {
        return new Reservation(0);
    }

    /** Returns the bytes that are reserved. */
    public synchronized long usedBytes() {
        return usedBytes;
    }

    /** Returns the size of the memory, in bytes. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** Returns whether a reservation has failed since a time of {@link System#nanoTime}. */
    public synchronized boolean wasShortSince(long nanos) {
        return hadShortage && lastShortageNanos - nanos >= 0;
    }

    private synchronized boolean tryChange(long heldBytes, long wantedBytes, int smallBytes) {
        long heldLarge = largePart(heldBytes, smallBytes);
        long newUsedBytes = usedBytes - heldBytes + wantedBytes;
        long newLargeBytes = largeBytes - heldLarge + largePart(wantedBytes, smallBytes);
        // A single large request is served whatever its size, as long as nothing else needs the memory.
        boolean alone = usedBytes - heldBytes == 0;
        boolean grows = wantedBytes > heldBytes;
        boolean fits = newUsedBytes <= capacityBytes && newLargeBytes <= largeCapacityBytes;
        if (grows && !fits && !alone) {
            hadShortage = true;
            lastShortageNanos = System.nanoTime();
            return false;
        }
        usedBytes = newUsedBytes;
        largeBytes = newLargeBytes;
        return true;
    }

    private static long largePart(long bytes, int smallBytes) {
        return bytes > smallBytes ? bytes : 0;
    }

    /** Part of the memory that belongs to one request. Thread-safe. */
    public final class Reservation implements AutoCloseable {
        /** Size up to which the reservation counts as small. */
        private final int smallBytes;

        private long heldBytes;
        private boolean closed;

        private Reservation(int smallBytes) {
            this.smallBytes = smallBytes;
        }

        /** Reserves further bytes if they are free, and returns whether they were. */
        public synchronized boolean tryAdd(long bytes) {
            if (closed || !tryChange(heldBytes, heldBytes + bytes, smallBytes)) {
                return false;
            }
            heldBytes += bytes;
            return true;
        }

        /** Returns some of the reserved bytes. */
        public synchronized void giveBack(long bytes) {
            if (!closed) {
                tryChange(heldBytes, heldBytes - bytes, smallBytes);
                heldBytes -= bytes;
            }
        }

        /** Returns all reserved bytes; later reservations fail. */
        @Override
        public synchronized void close() {
            if (!closed) {
                tryChange(heldBytes, 0, smallBytes);
                heldBytes = 0;
                closed = true;
            }
        }
    }
}
