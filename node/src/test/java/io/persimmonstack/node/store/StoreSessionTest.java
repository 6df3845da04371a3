package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The node's lease in the store. */
class StoreSessionTest {
    private static final long WAIT_SECONDS = 10;

    /** The exception used to end the thread: the node was never registered, and a lease was never renewed again. */
    @Test
    void unexpectedErrorDoesNotEndTheSession() throws Exception {
        CountDownLatch registered = new CountDownLatch(1);
        InMemoryKvStore entries = InMemoryKvStore.create();
        entries.intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.PUT) {
                registered.countDown();
            }
        });
        AtomicInteger questions = new AtomicInteger();
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        Peer self = new Peer("a", 1, "z", address, address);
        try (StoreSession session = StoreSession.start(new StoreWithLeases(entries), FleetView.create(), self, () -> {
            if (questions.incrementAndGet() == 1) {
                throw new IllegalStateException("requested by the test");
            }
            return true;
        })) {
            assertTrue(registered.await(WAIT_SECONDS, TimeUnit.SECONDS), "not registered");
        }
    }
}
