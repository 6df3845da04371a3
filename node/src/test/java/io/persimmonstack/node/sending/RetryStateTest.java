package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against running a request twice that is not idempotent, for instance after its connection was lost. */
class RetryStateTest {
    private static final Runner RUNNER = new Runner(
            "r1", 1, "v1", "s", new PeerAddress("127.0.0.1", 1), "z", 1, false, List.of(), Set.of(), Set.of());
    private static final Outcome LOST = new Outcome.Unknown("connection lost", false);
    private static final Outcome FULL = new Outcome.NotRun(Outcome.Cause.FULL, "no room");

    private static RetryState sentOnce(RouteKind kind, boolean resumable, int maxAttempts) {
        RetryState retryState = new RetryState(Requests.of(kind, resumable, maxAttempts), SendTracker.create());
        retryState.recordSend(RUNNER);
        return retryState;
    }

    @Test
    void doesNotRetryUnsafeRequestThatMayHaveRun() {
        RetryState retryState = sentOnce(RouteKind.UNSAFE, false, 3);
        assertFalse(retryState.mayRetryAfter(RUNNER, LOST, 0));
        assertTrue(retryState.mayHaveRun());
    }

    @Test
    void doesNotRetryNonResumableStreamThatMayHaveRun() {
        assertFalse(sentOnce(RouteKind.STREAM, false, 3).mayRetryAfter(RUNNER, LOST, 0));
    }

    @Test
    void retriesAnyRequestThatDidNotRun() {
        RetryState retryState = sentOnce(RouteKind.UNSAFE, false, 1);
        assertTrue(retryState.mayRetryAfter(RUNNER, FULL, 0));
        assertFalse(retryState.mayHaveRun());
    }

    @Test
    void retriesIdempotentRequestUpToMaxAttempts() {
        RetryState retryState = sentOnce(RouteKind.SAFE, false, 2);
        assertTrue(retryState.mayRetryAfter(RUNNER, LOST, 0));
        retryState.recordSend(RUNNER);
        assertFalse(retryState.mayRetryAfter(RUNNER, LOST, 0));
    }

    @Test
    void excludesRunnerThatMayHaveRunTheRequest() {
        RetryState retryState = sentOnce(RouteKind.STREAM, true, 2);
        retryState.mayRetryAfter(RUNNER, LOST, 0);
        assertEquals(Set.of("r1"), retryState.runnerFilter(Optional.empty()).excludedRunners());
    }

    @Test
    void doesNotRetryShortlyBeforeTheDeadline() {
        long shortlyBeforeDeadlineNanos = TimeUnit.MILLISECONDS.toNanos(990);
        assertFalse(sentOnce(RouteKind.SAFE, false, 2).mayRetryAfter(RUNNER, FULL, shortlyBeforeDeadlineNanos));
    }

    /** The last attempt used to be given up after a silence of 1 s, with nothing to follow. */
    @Test
    void silentRunnerOfTheLastAttemptIsKept() {
        RetryState retryState = sentOnce(RouteKind.STREAM, true, 2);
        assertTrue(retryState.mayReplace(0));
        retryState.recordPossibleRun(RUNNER);
        assertFalse(retryState.mayReplace(0));
    }

    @Test
    void silentRunnerOfARequestThatMayRunOnceIsKept() {
        assertFalse(sentOnce(RouteKind.UNSAFE, false, 3).mayReplace(0));
        assertFalse(sentOnce(RouteKind.STREAM, false, 3).mayReplace(0));
    }

    /** A stream that broke late used to be broken off for its caller unless a slot was free at that moment. */
    @Test
    void brokenStreamMayWaitForARunnerAsLongAsItsCallerWaitsForAnEvent() {
        long receivedNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(5);
        RetryState retryState = new RetryState(Requests.resumableStream(receivedNanos, 10_000), SendTracker.create());
        StreamProgress progress = StreamProgress.startingAfter(OptionalLong.empty(), receivedNanos);
        progress.recordDelivered(new EventReader.StreamEvent(new byte[0], OptionalLong.of(1)));
        assertTrue(retryState.latestStartNanos(progress) > System.nanoTime() + TimeUnit.SECONDS.toNanos(1));
    }
}
