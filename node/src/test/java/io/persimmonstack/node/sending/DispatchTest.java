package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Which attempts may follow which outcome: work that may not repeat is sent again only after a promise. */
class DispatchTest {
    private static final Runner RUNNER =
            new Runner("r1", 1, "s", new PeerAddress("127.0.0.1", 1), "z", 1, false, List.of(), Set.of(), Set.of());
    private static final Outcome LOST = new Outcome.Unknown("connection lost", false);
    private static final Outcome FULL = new Outcome.NotRun(Outcome.Cause.FULL, "no room");

    private static Dispatch sentOnce(RouteKind kind, boolean resumable, int maxAttempts) {
        Dispatch dispatch = new Dispatch(Requests.of(kind, resumable, maxAttempts), Sends.none());
        dispatch.sentTo(RUNNER);
        return dispatch;
    }

    @Test
    void unsafeRequestIsNotSentAgainWhenItMayHaveRun() {
        Dispatch dispatch = sentOnce(RouteKind.UNSAFE, false, 3);
        assertFalse(dispatch.mayRepeat(RUNNER, LOST, 0));
        assertTrue(dispatch.mayHaveRun());
    }

    @Test
    void streamThatMayNotBeResumedIsNotSentAgainWhenItMayHaveRun() {
        assertFalse(sentOnce(RouteKind.STREAM, false, 3).mayRepeat(RUNNER, LOST, 0));
    }

    @Test
    void anyRequestIsSentAgainAfterAPromise() {
        Dispatch dispatch = sentOnce(RouteKind.UNSAFE, false, 1);
        assertTrue(dispatch.mayRepeat(RUNNER, FULL, 0));
        assertFalse(dispatch.mayHaveRun());
    }

    @Test
    void idempotentRequestRunsAtMostAsOftenAsItsRouteAllows() {
        Dispatch dispatch = sentOnce(RouteKind.SAFE, false, 2);
        assertTrue(dispatch.mayRepeat(RUNNER, LOST, 0));
        dispatch.sentTo(RUNNER);
        assertFalse(dispatch.mayRepeat(RUNNER, LOST, 0));
    }

    @Test
    void runnerThatMayHaveRunTheRequestGetsItNoMore() {
        Dispatch dispatch = sentOnce(RouteKind.STREAM, true, 2);
        dispatch.mayRepeat(RUNNER, LOST, 0);
        assertEquals(Set.of("r1"), dispatch.excluded());
    }

    @Test
    void nothingIsSentAgainWithoutTime() {
        long late = TimeUnit.MILLISECONDS.toNanos(990);
        assertFalse(sentOnce(RouteKind.SAFE, false, 2).mayRepeat(RUNNER, FULL, late));
    }
}
