package io.persimmonstack.node.callers;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import java.util.concurrent.TimeUnit;

/**
 * Which requests a leaving node still accepts: callers may come for a while with an address that they have kept, and are
 * served as long as their answer can be complete before the process ends. Pure but for the time at which it began.
 */
public final class DrainState {
    private static final long ACCEPT_STREAMS_MS = 3_000;
    private static final long ANSWER_MARGIN_MS = 2_300;
    private final long graceMs;
    private volatile long startedNanos;
    private volatile boolean draining;

    private DrainState(long graceMs) {
        this.graceMs = graceMs;
    }

    /**
     * Returns a departure that has not draining.
     *
     * @param graceMs time from its start to the end of the process, in milliseconds
     */
    public static DrainState withGracePeriod(long graceMs) {
        return new DrainState(graceMs);
    }

    /** The node leaves from now on. */
    public void start(long nowNanos) {
        startedNanos = nowNanos;
        draining = true;
    }

    /** Returns whether the node leaves. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns whether a request may still be sent to a runner. */
    public boolean accepts(Route route, long nowNanos) {
        if (!draining) {
            return true;
        }
        long acceptMs = route.kind() == RouteKind.STREAM
                ? Math.min(ACCEPT_STREAMS_MS, graceMs - ANSWER_MARGIN_MS)
                : graceMs - ANSWER_MARGIN_MS;
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos) < acceptMs;
    }
}
