package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Leader;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
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
        Peer self = peer("a");
        try (StoreSession session = StoreSession.start(new StoreWithLeases(entries), FleetView.create(), self, () -> {
            if (questions.incrementAndGet() == 1) {
                throw new IllegalStateException("requested by the test");
            }
            return true;
        })) {
            assertTrue(registered.await(WAIT_SECONDS, TimeUnit.SECONDS), "not registered");
        }
    }

    private static Peer peer(String name) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Peer(name, 1, "z", address, address);
    }

    /** Returns a view of an initialised fleet of one node. */
    private static FleetView fleetOf(Peer self, Optional<Leader> leader) {
        FleetView fleet = FleetView.create();
        fleet.update(unknown -> unknown.withRouting(RoutingTable.of(1, List.of(), List.of()))
                .withRunners(Map.of(), 1)
                .withPeers(Map.of(self.node(), self), leader));
        return fleet;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(WAIT_SECONDS), "not in time");
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Guards against a leader that goes on under a lease which the store, back from a copy, gave to another node. */
    @Test
    void leaderOfAStoreThatCameBackFromACopyGivesNoMoreOrders() throws Exception {
        Peer self = peer("a");
        FleetView fleet = fleetOf(self, Optional.empty());
        InMemoryKvStore entries = InMemoryKvStore.create();
        StoreWithLeases store = new StoreWithLeases(entries);
        try (StoreSession session = StoreSession.start(store, fleet, self, () -> true)) {
            await(() -> session.leadTerm().isPresent());
            long term = session.leadTerm().getAsLong();
            fleet.update(
                    now -> now.withPeers(Map.of("a", self), Optional.of(new Leader("a", self.linkAddress(), term))));
            store.restore();
            assertTrue(session.leadTerm().isEmpty(), "leads on");
            await(() -> session.leadTerm().isPresent());
            assertTrue(session.leadTerm().getAsLong() > term);
        }
    }

    /** Guards against two nodes that order by turns: the leader of before may not have heard of the restore yet. */
    @Test
    void anotherNodeWaitsUntilTheLeaseOfTheLeaderOfBeforeHasEnded() throws Exception {
        Peer self = peer("a");
        Leader other = new Leader("b", self.linkAddress(), 1);
        FleetView fleet = fleetOf(self, Optional.of(other));
        StoreWithLeases store = new StoreWithLeases(InMemoryKvStore.create());
        try (StoreSession session = StoreSession.start(store, fleet, self, () -> true)) {
            await(session::isRegistered);
            long restoredNanos = System.nanoTime();
            store.restore();
            await(() -> store.granted() == 2);
            fleet.update(now -> now.withPeers(Map.of("a", self), Optional.empty()));
            await(() -> session.leadTerm().isPresent());
            long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - restoredNanos);
            assertTrue(waitedMs >= 2_500, "elected after " + waitedMs + " ms");
        }
    }
}
