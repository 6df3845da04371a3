package io.persimmonstack.node.callers;

import io.persimmonstack.runtime.http.InputLimits;
import io.persimmonstack.runtime.http.InputRefusal;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.persimmonstack.wire.PeerAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Bounds on what clients of the HTTP listeners may send and hold.
 *
 * @param callers address whose requests may have bodies
 * @param limits the limits in force
 * @param memory memory for heads
 * @param onRefusal told of each refusal of input
 * @param maxDescriptors descriptors that the process may have open
 */
public record ListenerOptions(
        PeerAddress callers,
        Supplier<InputLimits> limits,
        ReceiveMemory memory,
        Consumer<InputRefusal> onRefusal,
        int maxDescriptors) {
    /** Callers get half of the descriptors; runners, other nodes, the store and files need the rest. */
    private static final int CALLERS_DIVISOR = 2;

    private static final int OTHERS_DIVISOR = 16;
    private static final int MIN_CONNECTIONS = 8;

    /** Part of the heap per connection: 1,152 connections in 72 MB, which need about 8 KB each. */
    private static final int HEAP_BYTES_PER_CONNECTION = 64 * 1024;

    /** Returns how many connections a listener may have. */
    int maxConnections(PeerAddress address) {
        if (!address.equals(callers)) {
            return Math.max(
                    MIN_CONNECTIONS, Math.min(maxDescriptors / OTHERS_DIVISOR, heapConnections() / CALLERS_DIVISOR));
        }
        return Math.max(MIN_CONNECTIONS, Math.min(maxDescriptors / CALLERS_DIVISOR, heapConnections()));
    }

    private static int heapConnections() {
        return (int) Math.min(Integer.MAX_VALUE, Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_CONNECTION);
    }
}
