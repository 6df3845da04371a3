package io.persimmonstack.runtime.http;

import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Bounds of a {@link GuardedServer}.
 *
 * @param ioThreads number of I/O threads
 * @param maxConnections most connections at a time
 * @param maxHeaders most headers of a request
 * @param limits the limits in force
 * @param memory memory for heads
 * @param onRefusal told of each refusal of input
 * @param answerTimeoutMs time after which a connection is closed whose request has no whole answer, in milliseconds,
 *     for servers that answer at once; empty for no limit
 */
public record GuardedServerOptions(
        int ioThreads,
        int maxConnections,
        int maxHeaders,
        Supplier<InputLimits> limits,
        ReceiveMemory memory,
        Consumer<InputRefusal> onRefusal,
        OptionalInt answerTimeoutMs) {
    private static final int MIN_CONNECTIONS = 8;

    /** Creates bounds of a server whose answers may take any time. */
    public GuardedServerOptions(
            int ioThreads,
            int maxConnections,
            int maxHeaders,
            Supplier<InputLimits> limits,
            ReceiveMemory memory,
            Consumer<InputRefusal> onRefusal) {
        this(ioThreads, maxConnections, maxHeaders, limits, memory, onRefusal, OptionalInt.empty());
    }

    /** Returns the number of connections that the heap has room for, at the given bytes of heap for each. */
    public static int connectionsOfHeap(int heapBytesPerConnection) {
        long connections = Runtime.getRuntime().maxMemory() / heapBytesPerConnection;
        return (int) Math.max(MIN_CONNECTIONS, Math.min(Integer.MAX_VALUE, connections));
    }

    int maxConnectionsPerThread() {
        return Math.max(MIN_CONNECTIONS, maxConnections / ioThreads);
    }
}
