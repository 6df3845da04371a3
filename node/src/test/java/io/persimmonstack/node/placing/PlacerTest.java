package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Requests;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Queued requests: a refusal that coincides with a timeout or an interrupt must end the wait exactly once, and requests
 * whose model loads too late must not wait.
 */
class PlacerTest {
    private static final long WAIT_MS = 1_000;
    private final Placer placer = Placer.create(FleetView.create(), "z-a");
    private final AtomicReference<Throwable> outcome = new AtomicReference<>();

    @Test
    void refusalByLeavingNodeWinsOverSimultaneousTimeout() throws InterruptedException {
        Thread requestThread = startRequest(WAIT_MS);
        refuseWhileLocked(requestThread, () -> {});
        assertEquals(
                "leaving",
                assertInstanceOf(RefusedException.class, outcome.get())
                        .refusal()
                        .reason());
        assertEquals(0, placer.queuedCount());
    }

    @Test
    void interruptedRequestStaysInterruptedWhenNodeRefusesIt() throws InterruptedException {
        Thread requestThread = startRequest(TimeUnit.MINUTES.toMillis(1));
        refuseWhileLocked(requestThread, requestThread::interrupt);
        assertInstanceOf(InterruptedException.class, outcome.get());
        assertEquals(0, placer.queuedCount());
    }

    @Test
    void requestsForModelThatLoadsTooLateAreRefusedAtOnceAndStillCountAsDemand() throws InterruptedException {
        Thread requestThread = startRequest(TimeUnit.MINUTES.toMillis(1), Requests.forModel("m", System.nanoTime()));
        long inTwoMinutesMs = TimeUnit.MINUTES.toMillis(2);
        placer.applyModelArrivals(List.of(new ModelArrival("s", "m", inTwoMinutesMs)));
        requestThread.join();
        assertRefusedWithRetryAfter(inTwoMinutesMs);
        startRequest(TimeUnit.MINUTES.toMillis(1), Requests.forModel("m", System.nanoTime()))
                .join();
        assertRefusedWithRetryAfter(inTwoMinutesMs);
        assertEquals(0, placer.queuedCount());
        ModelDemand demand = placer.drainLoad().demands().getFirst();
        assertEquals("m", demand.model().model());
        assertEquals(2, demand.waiting());
    }

    @Test
    void requestWaitsForModelThatLoadsInTime() throws InterruptedException {
        Thread requestThread = startRequest(TimeUnit.MINUTES.toMillis(1), Requests.forModel("m", System.nanoTime()));
        placer.applyModelArrivals(
                List.of(new ModelArrival("s", "m", 1_000), new ModelArrival("s", "other", Integer.MAX_VALUE)));
        assertEquals(1, placer.queuedCount());
        requestThread.interrupt();
        requestThread.join();
        assertInstanceOf(InterruptedException.class, outcome.get());
    }

    private void assertRefusedWithRetryAfter(long unavailableMs) {
        Refusal refusal = assertInstanceOf(RefusedException.class, outcome.getAndSet(null))
                .refusal();
        assertEquals("model-not-loaded", refusal.reason());
        assertTrue(refusal.retryAfterMs().orElseThrow() >= unavailableMs / 2);
    }

    private Thread startRequest(long waitMs) throws InterruptedException {
        return startRequest(waitMs, Requests.of(RouteKind.STREAM, false, 1));
    }

    private Thread startRequest(long waitMs, ActiveRequest request) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Thread thread = Thread.ofPlatform().start(() -> {
            try {
                placer.place(request, RunnerFilter.any(), deadlineNanos);
            } catch (RefusedException | InterruptedException | RuntimeException e) {
                outcome.set(e);
            }
        });
        while (placer.queuedCount() == 0 && thread.isAlive()) {
            Thread.sleep(1);
        }
        return thread;
    }

    /**
     * Refuses the queued request while its thread, whose wait has already ended by a timeout or an interrupt, blocks on
     * the placer's lock.
     */
    private void refuseWhileLocked(Thread requestThread, Runnable beforeRefusal) throws InterruptedException {
        placer.refuseQueuedUnless(request -> {
            beforeRefusal.run();
            awaitState(requestThread, Thread.State.WAITING);
            return false;
        });
        requestThread.join();
    }

    private static void awaitState(Thread thread, Thread.State state) {
        while (thread.getState() != state) {
            Thread.onSpinWait();
        }
    }
}
