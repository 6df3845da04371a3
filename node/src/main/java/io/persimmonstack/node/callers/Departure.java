package io.persimmonstack.node.callers;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import java.util.concurrent.TimeUnit;

/**
 * Which requests a leaving node still takes: callers may come for a while with an address that they have kept, and are
 * served as long as their answer can be complete before the process ends. Pure but for the time at which it began.
 */
public final class Departure {
    private static final long STREAMS_MS = 3_000;
    private static final long LAST_ANSWER_MS = 2_300;
    private final long graceMs;
    private volatile long begunNanos;
    private volatile boolean begun;

    private Departure(long graceMs) {
        this.graceMs = graceMs;
    }

    /**
     * Returns a departure that has not begun.
     *
     * @param graceMs time from its begin to the end of the process, in milliseconds
     */
    public static Departure within(long graceMs) {
        return new Departure(graceMs);
    }

    /** The node leaves from now on. */
    public void begin(long nowNanos) {
        begunNanos = nowNanos;
        begun = true;
    }

    /** Returns whether the node leaves. */
    public boolean hasBegun() {
        return begun;
    }

    /** Returns whether a request may still be sent to a runner. */
    public boolean takes(Route route, long nowNanos) {
        if (!begun) {
            return true;
        }
        long takenMs = route.kind() == RouteKind.STREAM
                ? Math.min(STREAMS_MS, graceMs - LAST_ANSWER_MS)
                : graceMs - LAST_ANSWER_MS;
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - begunNanos) < takenMs;
    }
}
