package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.kv.Lease;
import io.persimmonstack.coordination.kv.LeasedKvStore;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
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
        try (StoreSession session = StoreSession.start(new StoreWithOneLease(entries), FleetView.create(), self, () -> {
            if (questions.incrementAndGet() == 1) {
                throw new IllegalStateException("requested by the test");
            }
            return true;
        })) {
            assertTrue(registered.await(WAIT_SECONDS, TimeUnit.SECONDS), "not registered");
        }
    }

    /** Store whose only lease never ends. */
    private record StoreWithOneLease(InMemoryKvStore entries) implements LeasedKvStore {
        @Override
        public Lease grant(int ttlMs) {
            return new Lease(1, ttlMs);
        }

        @Override
        public boolean keepAlive(Lease lease) {
            return true;
        }

        @Override
        public void revoke(Lease lease) {}

        @Override
        public WriteOutcome put(String key, byte[] value, Expectation expected, Lease lease) throws KvException {
            return entries.put(key, value, expected);
        }

        @Override
        public WriteOutcome put(String key, byte[] value, Expectation expected) throws KvException {
            return entries.put(key, value, expected);
        }

        @Override
        public Optional<KvEntry> get(String key) throws KvException {
            return entries.get(key);
        }

        @Override
        public KvRange list(String prefix) throws KvException {
            return entries.list(prefix);
        }

        @Override
        public WriteOutcome delete(String key, Expectation expected) throws KvException {
            return entries.delete(key, expected);
        }

        @Override
        public KvSubscription watch(String prefix, long fromRevision, KvWatcher watcher) throws KvException {
            return entries.watch(prefix, fromRevision, watcher);
        }
    }
}
