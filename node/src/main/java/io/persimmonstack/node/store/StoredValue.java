package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvLeaseEndedException;
import io.persimmonstack.coordination.kv.Lease;
import io.persimmonstack.coordination.kv.LeasedKvStore;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;

/**
 * A value of this node in the store, under a lease that outlives the process for a while. Of values that come while one
 * is being written, the last is written next; a write that failed is repeated. Thread-safe; callers never block.
 */
public final class StoredValue implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoredValue.class);
    private static final int LEASE_TTL_MS = 600_000;
    /** Age of the last renewal from which a write renews the lease. */
    private static final long RENEW_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(LEASE_TTL_MS / 3);

    private static final int IDLE_INTERVAL_MS = 60_000;
    private static final int RETRY_INTERVAL_MS = 500;

    private final LeasedKvStore store;
    private final String key;
    private final IntSupplier minIntervalMs;
    private final AtomicReference<Optional<byte[]>> pending = new AtomicReference<>(Optional.empty());
    private final WakeableThread thread;
    private volatile Optional<byte[]> lastWritten = Optional.empty();
    private Optional<Lease> lease = Optional.empty();
    private long renewedNanos;
    private OptionalLong revision = OptionalLong.empty();

    private StoredValue(LeasedKvStore store, String key, IntSupplier minIntervalMs) {
        this.store = store;
        this.key = key;
        this.minIntervalMs = minIntervalMs;
        this.thread = WakeableThread.of("store-value " + key, () -> IDLE_INTERVAL_MS, this::run);
    }

    /**
     * Starts a thread that writes values until it is closed.
     *
     * @param store store to write to
     * @param key key of the value, which only this node writes
     * @param minIntervalMs returns the pause after each write, in milliseconds
     */
    public static StoredValue start(LeasedKvStore store, String key, IntSupplier minIntervalMs) {
        StoredValue value = new StoredValue(store, key, minIntervalMs);
        value.thread.start();
        return value;
    }

    /** Writes a value soon, in place of those that still wait. */
    public void write(byte[] value) {
        pending.set(Optional.of(value));
        thread.wake();
    }

    /** Writes the last value once more, since the store may have lost it. */
    public void writeAgain() {
        Optional<byte[]> last = lastWritten;
        if (last.isPresent() && pending.compareAndSet(Optional.empty(), last)) {
            thread.wake();
        }
    }

    private void run() throws InterruptedException {
        Optional<byte[]> value = pending.getAndSet(Optional.empty());
        if (value.isEmpty()) {
            return;
        }
        boolean written = tryWrite(value.get());
        if (written) {
            lastWritten = value;
        } else {
            pending.compareAndSet(Optional.empty(), value);
        }
        TimeUnit.MILLISECONDS.sleep(written ? minIntervalMs.getAsInt() : RETRY_INTERVAL_MS);
        if (pending.get().isPresent()) {
            thread.wake();
        }
    }

    private boolean tryWrite(byte[] value) {
        try {
            return write(value, currentLease());
        } catch (KvLeaseEndedException e) {
            lease = Optional.empty();
        } catch (KvException e) {
            revision = OptionalLong.empty();
            LOG.write(NodeEvent.VALUE_NOT_STORED, key, value.length, e.getMessage());
        } catch (RuntimeException e) {
            revision = OptionalLong.empty();
            LOG.write(NodeEvent.STORE_STEP_FAILED, "value " + key, e.toString(), e);
        }
        return false;
    }

    private Lease currentLease() throws KvException {
        long nowNanos = System.nanoTime();
        boolean renew = lease.isPresent() && nowNanos - renewedNanos > RENEW_AFTER_NANOS;
        if (renew && !store.keepAlive(lease.get())) {
            lease = Optional.empty();
        }
        boolean grant = lease.isEmpty();
        if (grant) {
            lease = Optional.of(store.grant(LEASE_TTL_MS));
        }
        if (grant || renew) {
            renewedNanos = nowNanos;
        }
        return lease.get();
    }

    private boolean write(byte[] value, Lease activeLease) throws KvException {
        WriteOutcome outcome = store.put(key, value, expectation(), activeLease);
        revision = switch (outcome) {
            case WriteOutcome.Applied applied -> OptionalLong.of(applied.revision());
            case WriteOutcome.Conflict conflict -> OptionalLong.empty();
        };
        return revision.isPresent();
    }

    /** Returns the expectation that the key is as this process wrote it or, if that is not known, as it is now. */
    private Expectation expectation() throws KvException {
        if (revision.isPresent()) {
            return Expectation.atRevision(revision.getAsLong());
        }
        Optional<KvEntry> existing = store.get(key);
        return existing.map(entry -> Expectation.atRevision(entry.revision())).orElseGet(Expectation::absent);
    }

    @Override
    public void close() {
        thread.close();
    }
}
