package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvLeaseEndedException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.kv.Lease;
import io.persimmonstack.coordination.kv.LeasedKvStore;
import io.persimmonstack.coordination.kv.WriteOutcome;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Store whose leases end only when a test ends them, without effect on the entries. */
final class StoreWithLeases implements LeasedKvStore {
    private final InMemoryKvStore entries;
    private final AtomicInteger granted = new AtomicInteger();
    private final AtomicInteger renewals = new AtomicInteger();
    private volatile int lastEnded;
    private volatile int lastBeforeRestore;

    StoreWithLeases(InMemoryKvStore entries) {
        this.entries = entries;
    }

    /** Returns how many leases have been granted. */
    int granted() {
        return granted.get();
    }

    /** Returns how often a lease has been renewed. */
    int renewals() {
        return renewals.get();
    }

    /** Ends all leases that have been granted. */
    void endLeases() {
        lastEnded = granted.get();
    }

    /** Has the store come back from a copy, so that the leases that have been granted are of the store before. */
    void restore() {
        lastBeforeRestore = granted.get();
    }

    @Override
    public boolean isCurrent(Lease lease) {
        return lease.id() > lastBeforeRestore;
    }

    @Override
    public Lease grant(int ttlMs) {
        return new Lease(granted.incrementAndGet(), ttlMs, 0);
    }

    @Override
    public boolean keepAlive(Lease lease) {
        boolean alive = lease.id() > lastEnded;
        if (alive) {
            renewals.incrementAndGet();
        }
        return alive;
    }

    @Override
    public void revoke(Lease lease) {}

    @Override
    public WriteOutcome put(String key, byte[] value, Expectation expected, Lease lease) throws KvException {
        if (lease.id() <= lastEnded) {
            throw new KvLeaseEndedException("lease " + lease.id() + " has ended");
        }
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
