package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * A value of this node in the store that outlives the process and all leases. It is written soon after it has changed,
 * with what it is then; a write that failed is repeated. {@link AbandonedValues} removes it once the node is gone.
 * Thread-safe; callers never block.
 */
public final class StoredValue implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoredValue.class);
    /** Pause of the thread while nothing changes. */
    private static final int IDLE_INTERVAL_MS = 60_000;

    private static final int RETRY_INTERVAL_MS = 500;

    private final KvStore store;
    private final String key;
    private final IntSupplier minIntervalMs;
    private final Supplier<Optional<byte[]>> value;
    private final WakeableThread thread;
    private volatile boolean changed;
    private OptionalLong revision = OptionalLong.empty();
    private boolean failing;

    private StoredValue(KvStore store, String key, IntSupplier minIntervalMs, Supplier<Optional<byte[]>> value) {
        this.store = store;
        this.key = key;
        this.minIntervalMs = minIntervalMs;
        this.value = value;
        this.thread = WakeableThread.of("store-value " + key, () -> IDLE_INTERVAL_MS, this::run);
    }

    /**
     * Starts a thread that writes the value until it is closed.
     *
     * @param store store to write to
     * @param key key of the value, which only this node writes
     * @param minIntervalMs returns the pause after each write, in milliseconds
     * @param value returns the present value, empty if there is nothing to write
     */
    public static StoredValue start(
            KvStore store, String key, IntSupplier minIntervalMs, Supplier<Optional<byte[]>> value) {
        StoredValue stored = new StoredValue(store, key, minIntervalMs, value);
        stored.thread.start();
        return stored;
    }

    /** Writes the value soon, since it has changed or the store may have lost it. */
    public void changed() {
        changed = true;
        thread.wake();
    }

    private void run() throws InterruptedException {
        if (!changed) {
            return;
        }
        changed = false;
        Optional<byte[]> present = value.get();
        if (present.isEmpty()) {
            return;
        }
        boolean written = tryWrite(present.get());
        if (!written) {
            changed = true;
        }
        TimeUnit.MILLISECONDS.sleep(written ? minIntervalMs.getAsInt() : RETRY_INTERVAL_MS);
        if (changed) {
            thread.wake();
        }
    }

    /** Logs a failure, unless the call before has failed, too. */
    private void logFirst(int bytes, String cause) {
        if (!failing) {
            failing = true;
            LOG.write(NodeEvent.VALUE_NOT_STORED, key, bytes, cause);
        }
    }

    private boolean tryWrite(byte[] present) {
        try {
            return write(present);
        } catch (KvException e) {
            revision = OptionalLong.empty();
            logFirst(present.length, e.getMessage());
        } catch (RuntimeException e) {
            revision = OptionalLong.empty();
            LOG.write(NodeEvent.STORE_STEP_FAILED, "value " + key, e.toString(), e);
        }
        return false;
    }

    private boolean write(byte[] present) throws KvException {
        WriteOutcome outcome = store.put(key, present, expectation());
        revision = switch (outcome) {
            case WriteOutcome.Applied applied -> OptionalLong.of(applied.revision());
            case WriteOutcome.Conflict conflict -> OptionalLong.empty();
        };
        failing = false;
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
