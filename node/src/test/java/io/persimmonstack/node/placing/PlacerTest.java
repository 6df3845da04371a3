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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Waits of requests that end in the same instant in two ways. */
class PlacerTest {
    private static final long WAIT_MS = 50;
    private final Placer placer = Placer.following(FleetView.create(), "z-a");
    private final AtomicReference<Throwable> end = new AtomicReference<>();

    @Test
    void refusalOfALeavingNodeMeetsTheEndOfTheWait() throws InterruptedException {
        Thread waiting = startWaiting(WAIT_MS);
        refuseOnce(waiting, () -> {});
        assertEquals(
                "leaving",
                assertInstanceOf(RefusedException.class, end.get()).refusal().reason());
        assertEquals(0, placer.waiting());
    }

    @Test
    void refusalOfALeavingNodeMeetsTheEndOfItsCaller() throws InterruptedException {
        Thread waiting = startWaiting(TimeUnit.MINUTES.toMillis(1));
        refuseOnce(waiting, waiting::interrupt);
        assertInstanceOf(InterruptedException.class, end.get());
        assertEquals(0, placer.waiting());
    }

    @Test
    void burstForAModelThatComesTooLateIsRefusedAtOnceAndItsDemandStays() throws InterruptedException {
        Thread waiting = startWaiting(TimeUnit.MINUTES.toMillis(1), Requests.forModel("m", System.nanoTime()));
        long inTwoMinutesMs = TimeUnit.MINUTES.toMillis(2);
        placer.takeArrivals(List.of(new ModelArrival("s", "m", inTwoMinutesMs)));
        waiting.join();
        assertRefusedUntil(inTwoMinutesMs);
        startWaiting(TimeUnit.MINUTES.toMillis(1), Requests.forModel("m", System.nanoTime()))
                .join();
        assertRefusedUntil(inTwoMinutesMs);
        assertEquals(0, placer.waiting());
        ModelDemand demand = placer.takeLoad().demands().getFirst();
        assertEquals("m", demand.model().model());
        assertEquals(2, demand.waiting());
    }

    @Test
    void requestThatCanStillBeServedWaits() throws InterruptedException {
        Thread waiting = startWaiting(TimeUnit.MINUTES.toMillis(1), Requests.forModel("m", System.nanoTime()));
        placer.takeArrivals(
                List.of(new ModelArrival("s", "m", 1_000), new ModelArrival("s", "other", Integer.MAX_VALUE)));
        assertEquals(1, placer.waiting());
        waiting.interrupt();
        waiting.join();
        assertInstanceOf(InterruptedException.class, end.get());
    }

    private void assertRefusedUntil(long ms) {
        Refusal refusal =
                assertInstanceOf(RefusedException.class, end.getAndSet(null)).refusal();
        assertEquals("model-not-loaded", refusal.reason());
        assertTrue(refusal.retryAfterMs().orElseThrow() >= ms / 2);
    }

    private Thread startWaiting(long waitMs) throws InterruptedException {
        return startWaiting(waitMs, Requests.of(RouteKind.STREAM, false, 1));
    }

    private Thread startWaiting(long waitMs, ActiveRequest request) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Thread thread = Thread.ofPlatform().start(() -> {
            try {
                placer.place(request, Set.of(), until);
            } catch (RefusedException | InterruptedException | RuntimeException e) {
                end.set(e);
            }
        });
        while (placer.waiting() == 0 && thread.isAlive()) {
            Thread.sleep(1);
        }
        return thread;
    }

    /** Refuses the waiting request while the placer is locked and its thread, whose wait is over, asks for the lock. */
    private void refuseOnce(Thread waiting, Runnable before) throws InterruptedException {
        placer.refuseUnless(request -> {
            before.run();
            awaitState(waiting, Thread.State.WAITING);
            return false;
        });
        waiting.join();
    }

    private static void awaitState(Thread thread, Thread.State state) {
        while (thread.getState() != state) {
            Thread.onSpinWait();
        }
    }
}
