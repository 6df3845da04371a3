package io.persimmonstack.router.admission;

import io.persimmonstack.router.request.Jitter;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Circuit breaker of one target. It opens after a number of consecutive failures; while it is open, it allows one probe
 * request after each open period. Each further failure doubles the period up to a maximum; a success closes the
 * circuit. Open periods are jittered. Thread-safe.
 */
final class CircuitBreaker {
    private static final int FAILURE_THRESHOLD = 4;
    private static final long INITIAL_OPEN_MS = 500;
    private static final long MAX_OPEN_MS = 15_000;

    /** State of the circuit. The open period {@code openMs} is 0 while the circuit is closed. */
    private record State(int consecutiveFailures, long openMs, long openUntilNanos) {}

    private static final State CLOSED = new State(0, 0, 0);
    private final AtomicReference<State> state = new AtomicReference<>(CLOSED);

    /** Returns whether a request could be sent now, without using up the probe of an open circuit. */
    boolean allowsRequest(long nowNanos) {
        State current = state.get();
        return current.openMs() == 0 || nowNanos - current.openUntilNanos() >= 0;
    }

    /** Returns whether to send a request now: always while closed, for one probe after each period while open. */
    boolean tryAcquire(long nowNanos) {
        State current = state.get();
        if (current.openMs() == 0) {
            return true;
        }
        if (nowNanos - current.openUntilNanos() < 0) {
            return false;
        }
        return state.compareAndSet(current, openState(current.consecutiveFailures(), current.openMs(), nowNanos));
    }

    /** Closes the circuit. */
    void recordSuccess() {
        if (state.get() != CLOSED) {
            state.set(CLOSED);
        }
    }

    /** Counts a failure; returns the open period in milliseconds if the circuit is open afterwards, else 0. */
    long recordFailure(long nowNanos) {
        State next = state.updateAndGet(previous -> stateAfterFailure(previous, nowNanos));
        return next.consecutiveFailures() >= FAILURE_THRESHOLD ? next.openMs() : 0;
    }

    /** Returns the number of failures since the last success. */
    int consecutiveFailures() {
        return state.get().consecutiveFailures();
    }

    private static State stateAfterFailure(State current, long nowNanos) {
        int consecutiveFailures = current.consecutiveFailures() + 1;
        if (consecutiveFailures < FAILURE_THRESHOLD) {
            return new State(consecutiveFailures, 0, 0);
        }
        long openMs = current.openMs() == 0 ? INITIAL_OPEN_MS : Math.min(MAX_OPEN_MS, current.openMs() * 2);
        return openState(consecutiveFailures, openMs, nowNanos);
    }

    private static State openState(int consecutiveFailures, long openMs, long nowNanos) {
        return new State(consecutiveFailures, openMs, nowNanos + TimeUnit.MILLISECONDS.toNanos(Jitter.spread(openMs)));
    }
}
