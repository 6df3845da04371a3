package io.persimmonstack.node.streams;

import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells which nodes have not been called for a while. In a large fleet each node sends copies to all others, and
 * connections that stay open between rare calls would take more memory than the origins. The caller supplies the time.
 * Not thread-safe.
 */
final class IdleLinks {
    /** Time without a call after which connections are to be closed. */
    static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<PeerAddress, Long> lastCallNanos = new HashMap<>();

    private IdleLinks() {}

    /** Returns a tracker without any calls. */
    static IdleLinks create() {
        return new IdleLinks();
    }

    /** Records that a call to a node has ended. */
    void recordCall(PeerAddress address, long nowNanos) {
        lastCallNanos.put(address, nowNanos);
    }

    /** Returns the addresses that have become idle, each of them once until it is called again. */
    List<PeerAddress> takeIdle(long nowNanos) {
        List<PeerAddress> idle = new ArrayList<>();
        lastCallNanos.forEach((address, calledNanos) -> {
            if (nowNanos - calledNanos >= IDLE_NANOS) {
                idle.add(address);
            }
        });
        idle.forEach(lastCallNanos::remove);
        return idle;
    }
}
