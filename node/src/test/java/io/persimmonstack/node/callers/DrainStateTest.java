package io.persimmonstack.node.callers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.sending.Requests;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DrainStateTest {
    private static long atMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Returns a request that is received at the given time, in milliseconds. */
    private static ActiveRequest received(RouteKind kind, long ms, int timeLimitMs) {
        return Requests.received(kind, atMs(ms), timeLimitMs);
    }

    private static DrainState startedAt(long ms) {
        DrainState drainState = DrainState.withGracePeriod(8_000);
        drainState.start(atMs(ms));
        return drainState;
    }

    private static boolean accepts(DrainState drainState, RouteKind kind, long ms, int timeLimitMs) {
        return drainState.accepts(received(kind, ms, timeLimitMs), atMs(ms));
    }

    @Test
    void acceptsEverythingWhileNotDraining() {
        assertTrue(accepts(DrainState.withGracePeriod(8_000), RouteKind.STREAM, 1_000_000, 20_000));
    }

    @Test
    void acceptsStreamsOnlyForTheFirstSecondsOfTheDrain() {
        assertTrue(accepts(startedAt(100), RouteKind.STREAM, 3_000, 1_000));
        assertFalse(accepts(startedAt(100), RouteKind.STREAM, 3_200, 1_000));
    }

    @Test
    void acceptsOtherRequestsWhoseTimeLimitEndsInTime() {
        assertTrue(accepts(startedAt(0), RouteKind.UNSAFE, 5_600, 1_500));
        assertFalse(accepts(startedAt(0), RouteKind.UNSAFE, 6_000, 1_500));
    }

    /** Such a request used to be accepted and, if its runner was silent, cut off at the end of the drain. */
    @Test
    void refusesRequestThatCouldOutlastTheProcess() {
        assertTrue(accepts(startedAt(0), RouteKind.SAFE, 2_900, 7_000));
        assertFalse(accepts(startedAt(0), RouteKind.SAFE, 3_100, 7_000));
    }

    /** A request that was read while the connections were being closed used to be sent and cut off. */
    @Test
    void acceptsNothingWhileConnectionsAreClosed() {
        DrainState drainState = startedAt(0);
        drainState.startClosing();
        assertFalse(accepts(drainState, RouteKind.UNSAFE, 3_300, 1_000));
    }
}
