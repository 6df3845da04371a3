package io.persimmonstack.node.callers;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a stopping node still accepts. Callers go on using an address that they resolved earlier for a
 * while, so requests are accepted as long as their answer can be complete before the process ends. Thread-safe; the
 * caller supplies the time.
 */
public final class DrainState {
    /** Streams run longer than other requests and so are accepted for a shorter time. */
    private static final long ACCEPT_STREAMS_MS = 3_000;
    /** Time that the last accepted request has for its answer. */
    private static final long ANSWER_MARGIN_MS = 2_300;

    private final long graceMs;
    private volatile long startedNanos;
    private volatile boolean draining;
    private volatile boolean closing;

    private DrainState(long graceMs) {
        this.graceMs = graceMs;
    }

    /**
     * Returns the state of a node that is not draining.
     *
     * @param graceMs time from the start of the drain to the end of the process, in milliseconds
     */
    public static DrainState withGracePeriod(long graceMs) {
        return new DrainState(graceMs);
    }

    /** Starts the drain at the given monotonic time. */
    public void start(long nowNanos) {
        startedNanos = nowNanos;
        draining = true;
    }

    /** Accepts no request from now on, so that none is sent to a runner while the node closes its connections. */
    public void startClosing() {
        closing = true;
    }

    /** Returns whether the drain has started. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns whether a request of a route may be sent to a runner at the given monotonic time. */
    public boolean accepts(Route route, long nowNanos) {
        if (closing) {
            return false;
        }
        if (!draining) {
            return true;
        }
        long acceptMs = route.kind() == RouteKind.STREAM
                ? Math.min(ACCEPT_STREAMS_MS, graceMs - ANSWER_MARGIN_MS)
                : graceMs - ANSWER_MARGIN_MS;
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos) < acceptMs;
    }
}
