package io.persimmonstack.wire;

import java.util.function.Consumer;

/**
 * Bounds on what the clients of a {@link ThriftServer} may send and hold.
 *
 * @param memoryBytes memory for frames that are received or decoded and for answers that are not taken, in bytes
 * @param maxConnections most connections at a time
 * @param onRefusal told of each connection that is closed
 */
public record LinkLimits(long memoryBytes, int maxConnections, Consumer<LinkRefusal> onRefusal) {
    /** Part of the heap; callers of the same process may fill three further eighths. */
    private static final int HEAP_DIVISOR = 8;

    /** Heap per connection: 1,152 connections in 72 MB, for 370 nodes with up to three each. */
    private static final int HEAP_BYTES_PER_CONNECTION = 64 * 1024;

    private static final int MIN_CONNECTIONS = 64;

    /** Why a connection is closed. Its call was not run, unless its answer was not taken. */
    public enum LinkRefusal {
        /** The frame is larger than allowed, or no frame. */
        FRAME_TOO_LARGE,
        /** The memory for frames is in use. */
        MEMORY,
        /** The frame did not arrive in time. */
        FRAME_TIMEOUT,
        /** The answer was not taken in time. */
        ANSWER_TIMEOUT,
        /** There are as many connections as allowed. */
        CONNECTIONS;

        /** Returns the word for metrics and logs. */
        public String reason() {
            return "link-" + name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Returns limits that follow from the largest heap of the process.
     *
     * @param onRefusal told of each connection that is closed
     */
    public static LinkLimits ofHeap(Consumer<LinkRefusal> onRefusal) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        int connections = (int) Math.min(Integer.MAX_VALUE, heapBytes / HEAP_BYTES_PER_CONNECTION);
        return new LinkLimits(heapBytes / HEAP_DIVISOR, Math.max(MIN_CONNECTIONS, connections), onRefusal);
    }
}
