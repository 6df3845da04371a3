package io.persimmonstack.node.callers;

import io.persimmonstack.node.request.ActiveRequest;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a stopping node still accepts. Callers go on using an address that they resolved earlier for a
 * while, so requests are accepted as long as their answer can be complete before the process ends. Thread-safe; the
 * caller supplies the time.
 */
public final class DrainState {
    /** Time in which any request is accepted; later, only those whose time limit ends before the process does. */
    private static final long ACCEPT_ALL_MS = 3_000;
    /** Least time from the last request that is accepted whatever its time limit is to the end of the process. */
    private static final long MIN_ANSWER_MS = 2_300;
    /** Time that is reserved for sending the last answers and for the exit of the process. */
    private static final long EXIT_MARGIN_MS = 600;

    private final long graceMs;
    private volatile long startedNanos;
    private volatile boolean draining;
    private volatile boolean closing;
    private volatile boolean ending;

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

    /** Reports that the process is about to end, whatever is still open. */
    public void startEnding() {
        ending = true;
    }

    /** Returns whether the process is about to end. */
    public boolean isEnding() {
        return ending;
    }

    /** Returns whether the drain has started. */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Returns whether a request may be sent to a runner.
     *
     * @param request request that was received or has been waiting
     * @param nowNanos monotonic time
     */
    public boolean accepts(ActiveRequest request, long nowNanos) {
        if (closing) {
            return false;
        }
        if (!draining) {
            return true;
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos);
        return elapsedMs < Math.min(ACCEPT_ALL_MS, graceMs - MIN_ANSWER_MS)
                || !request.isStream() && elapsedMs + request.remainingMs(nowNanos) <= graceMs - EXIT_MARGIN_MS;
    }
}
