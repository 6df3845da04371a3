package io.persimmonstack.node.store;

import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Removes from the store what nodes left there that are gone. Follows the values of one prefix on behalf of another
 * listener. A value is abandoned once it has not changed, and its node was not listed, for a while; of the listed nodes
 * the one that rendezvous hashing prefers removes it. Thread-safe.
 */
public final class AbandonedValues implements StoreFollower.Listener, AutoCloseable {
    private static final EventLog LOG = EventLog.of(AbandonedValues.class);
    private static final int CHECK_INTERVAL_MS = 30_000;

    private final StoreFollower.Listener listener;
    private final String prefix;
    private final long keptNanos;
    private final KvStore store;
    private final String self;
    private final Supplier<? extends Collection<String>> nodes;
    private final LongSupplier nanoClock;
    private final WakeableThread thread = WakeableThread.of("abandoned-values", () -> CHECK_INTERVAL_MS, this::remove);
    private final Map<String, Usage> usages = new HashMap<>();

    /** Revision of a value, and the monotonic time at which it was last written or its node listed. */
    private record Usage(long revision, long usedNanos) {}

    private AbandonedValues(
            StoreFollower.Listener listener,
            String prefix,
            long keptMs,
            KvStore store,
            String self,
            Supplier<? extends Collection<String>> nodes,
            LongSupplier nanoClock) {
        this.listener = listener;
        this.prefix = prefix;
        this.keptNanos = TimeUnit.MILLISECONDS.toNanos(keptMs);
        this.store = store;
        this.self = self;
        this.nodes = nodes;
        this.nanoClock = nanoClock;
    }

    /**
     * Returns a listener whose thread is not started.
     *
     * @param listener receives all that this listener does
     * @param prefix prefix of the values; the name of a node follows it
     * @param keptMs time for which a value outlives its node, in milliseconds
     * @param store holds the values
     * @param self name of this node
     * @param nodes returns the names of the listed nodes
     * @param nanoClock source of monotonic time
     */
    public static AbandonedValues of(
            StoreFollower.Listener listener,
            String prefix,
            long keptMs,
            KvStore store,
            String self,
            Supplier<? extends Collection<String>> nodes,
            LongSupplier nanoClock) {
        return new AbandonedValues(listener, prefix, keptMs, store, self, nodes, nanoClock);
    }

    /** Begins to look for abandoned values regularly. */
    public void start() {
        thread.start();
    }

    @Override
    public void onSnapshot(KvRange range) {
        synchronized (this) {
            usages.keySet().retainAll(range.entries().stream().map(KvEntry::key).toList());
            range.entries().forEach(this::recordWrite);
        }
        listener.onSnapshot(range);
    }

    @Override
    public void onChanges(List<KvChange> changes) {
        synchronized (this) {
            for (KvChange change : changes) {
                switch (change) {
                    case KvChange.Written written -> recordWrite(written.entry());
                    case KvChange.Deleted deleted -> usages.remove(deleted.key());
                }
            }
        }
        listener.onChanges(changes);
    }

    private void recordWrite(KvEntry entry) {
        Usage known = usages.get(entry.key());
        if (known == null || known.revision() != entry.revision()) {
            usages.put(entry.key(), new Usage(entry.revision(), nanoClock.getAsLong()));
        }
    }

    @Override
    public void onCompleteUpTo(long nanos) {
        listener.onCompleteUpTo(nanos);
    }

    @Override
    public void onUnavailable() {
        listener.onUnavailable();
    }

    /** Removes the values that are abandoned now and that this node is to remove. */
    void remove() {
        for (Map.Entry<String, Long> value : abandoned().entrySet()) {
            try {
                store.delete(value.getKey(), Expectation.atRevision(value.getValue()));
            } catch (KvException e) {
                LOG.write(NodeEvent.STORE_STEP_FAILED, "removal of " + value.getKey(), e.toString());
            }
        }
    }

    /** Returns the revisions of the abandoned values that this node is to remove, by key. */
    private synchronized Map<String, Long> abandoned() {
        long nowNanos = nanoClock.getAsLong();
        Collection<String> listed = nodes.get();
        Map<String, Long> abandoned = new HashMap<>();
        usages.replaceAll((key, usage) ->
                listed.contains(key.substring(prefix.length())) ? new Usage(usage.revision(), nowNanos) : usage);
        usages.forEach((key, usage) -> {
            boolean unused = nowNanos - usage.usedNanos() > keptNanos;
            if (unused && RendezvousHash.preferred(key, listed).equals(Optional.of(self))) {
                abandoned.put(key, usage.revision());
            }
        });
        return abandoned;
    }

    @Override
    public void close() {
        thread.close();
    }
}
