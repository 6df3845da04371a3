package io.persimmonstack.coordination.kv;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Access of one node to a shared store. Fails a chosen write, then every call until {@link #heal healed}. */
public final class FaultyKvStore implements KvStore {
    /** Fault of a single write. */
    public enum Fault {
        /** The write is refused and has no effect. */
        REFUSED,
        /** The write takes effect, but its reply is lost. */
        REPLY_LOST,
        /** The write reaches the store only when {@link #deliverLate} is called; its reply is lost. */
        LATE
    }

    private final KvStore store;
    private final List<LateWrite> lateWrites = new ArrayList<>();
    private Optional<Fault> fault = Optional.empty();
    private int writesUntilFault;
    private boolean down;

    private record LateWrite(String key, byte[] value, Expectation expected) {}

    public FaultyKvStore(KvStore store) {
        this.store = store;
    }

    /** Injects a fault into the write that follows {@code writesBefore} further writes; with 0, into the next write. */
    public void failAfter(int writesBefore, Fault newFault) {
        writesUntilFault = writesBefore;
        fault = Optional.of(newFault);
    }

    /** Ends the outage and removes a fault that has not happened yet. */
    public void heal() {
        down = false;
        fault = Optional.empty();
    }

    /** Delivers the late writes to the store, with their original preconditions. */
    public void deliverLate() throws KvException {
        for (LateWrite lateWrite : List.copyOf(lateWrites)) {
            store.put(lateWrite.key(), lateWrite.value(), lateWrite.expected());
        }
        lateWrites.clear();
    }

    @Override
    public Optional<KvEntry> get(String key) throws KvException {
        requireUp(key);
        return store.get(key);
    }

    @Override
    public KvRange list(String prefix) throws KvException {
        requireUp(prefix);
        return store.list(prefix);
    }

    @Override
    public WriteOutcome put(String key, byte[] value, Expectation expected) throws KvException {
        requireUp(key);
        if (fault.isEmpty() || writesUntilFault-- > 0) {
            return store.put(key, value, expected);
        }
        down = true;
        switch (fault.get()) {
            case REFUSED -> requireUp(key);
            case REPLY_LOST -> store.put(key, value, expected);
            default -> lateWrites.add(new LateWrite(key, value, expected));
        }
        throw new KvAmbiguousException(key + ": no reply");
    }

    @Override
    public WriteOutcome delete(String key, Expectation expected) throws KvException {
        requireUp(key);
        return store.delete(key, expected);
    }

    @Override
    public KvSubscription watch(String prefix, long fromRevision, KvWatcher watcher) throws KvException {
        requireUp(prefix);
        return store.watch(prefix, fromRevision, watcher);
    }

    private void requireUp(String key) throws KvUnavailableException {
        if (down) {
            throw new KvUnavailableException(key + ": the store is down");
        }
    }
}
