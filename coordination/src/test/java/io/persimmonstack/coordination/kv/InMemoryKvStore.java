package io.persimmonstack.coordination.kv;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * In-memory {@link KvStore} with fault injection. Watchers are called on the writing thread before the write
 * returns, unless another thread is already delivering changes.
 */
public final class InMemoryKvStore implements KvStore {
    private final NavigableMap<String, KvEntry> entries = new TreeMap<>();
    private final List<KvChange> history = new ArrayList<>();
    private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private final Queue<Runnable> deliveries = new ArrayDeque<>();
    private final AtomicBoolean delivering = new AtomicBoolean();
    private volatile boolean unavailable;
    private volatile boolean readsUnavailable;
    private volatile KvInterceptor interceptor = (call, key) -> {};
    private int repliesToLose;
    private int requestsToLose;
    private long revision;
    private long reads;
    private long writes;

    private InMemoryKvStore() {}

    /** Kind of call, as passed to an interceptor. */
    public enum Call {
        /** Read of one key. */
        GET,
        /** Read of a prefix. */
        LIST,
        /** Conditional write. */
        PUT,
        /** Conditional deletion. */
        DELETE,
        /** Start of a watch. */
        WATCH
    }

    /**
     * Hook that runs before each call, outside the store's lock. It may block to delay the call or throw to fail it.
     */
    public interface KvInterceptor {
        /** Called before the call has any effect. */
        void before(Call call, String key) throws KvException;
    }

    /** Returns an empty store. */
    public static InMemoryKvStore create() {
        return new InMemoryKvStore();
    }

    /** Makes every call fail without effect while {@code down}; open watches stay open and report nothing. */
    public void unavailable(boolean down) {
        unavailable = down;
    }

    /** Makes reads and new watches fail while {@code down}. */
    public void readsUnavailable(boolean down) {
        readsUnavailable = down;
    }

    /** Makes the next {@code count} writes take effect but end as ambiguous. */
    public synchronized void loseReplies(int count) {
        repliesToLose = count;
    }

    /** Makes the next {@code count} writes end as ambiguous without taking effect. */
    public synchronized void loseRequests(int count) {
        requestsToLose = count;
    }

    /** Runs {@code hook} before each call, in place of an earlier hook. */
    public void intercept(KvInterceptor hook) {
        interceptor = hook;
    }

    /** Ends every open watch and notifies its watcher. */
    public void endWatches() {
        for (Subscription subscription : List.copyOf(subscriptions)) {
            subscription.close();
            subscription.watcher.ended(new KvUnavailableException("watch of '" + subscription.prefix + "' ended"));
        }
    }

    /** Returns the number of reads answered so far. */
    public synchronized long reads() {
        return reads;
    }

    /** Returns the number of writes so far that were applied or ended as conflicts. */
    public synchronized long writes() {
        return writes;
    }

    /** Returns the revision of the last change. */
    public synchronized long revision() {
        return revision;
    }

    @Override
    public Optional<KvEntry> get(String key) throws KvException {
        beforeCall(Call.GET, key);
        synchronized (this) {
            reads++;
            return Optional.ofNullable(entries.get(key)).map(InMemoryKvStore::copy);
        }
    }

    @Override
    public KvRange list(String prefix) throws KvException {
        beforeCall(Call.LIST, prefix);
        synchronized (this) {
            reads++;
            List<KvEntry> found = entries.tailMap(prefix, true).values().stream()
                    .takeWhile(entry -> entry.key().startsWith(prefix))
                    .map(InMemoryKvStore::copy)
                    .toList();
            return new KvRange(found, revision);
        }
    }

    @Override
    public WriteOutcome put(String key, byte[] value, Expectation expected) throws KvException {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of '" + key + "': " + value.length + " bytes; expected at most " + MAX_VALUE_BYTES);
        }
        beforeCall(Call.PUT, key);
        byte[] stored = value.clone();
        return write(key, expected, next -> {
            KvEntry entry = new KvEntry(key, stored, next);
            entries.put(key, entry);
            return new KvChange.Written(entry);
        });
    }

    @Override
    public WriteOutcome delete(String key, Expectation expected) throws KvException {
        beforeCall(Call.DELETE, key);
        return write(key, expected, next -> {
            entries.remove(key);
            return new KvChange.Deleted(key, next);
        });
    }

    @Override
    public KvSubscription watch(String prefix, long fromRevision, KvWatcher watcher) throws KvException {
        beforeCall(Call.WATCH, prefix);
        Subscription subscription = new Subscription(prefix, watcher);
        synchronized (this) {
            history.stream()
                    .filter(change -> revisionOf(change) >= fromRevision)
                    .forEach(change -> deliveries.add(() -> subscription.notifyWatcher(change)));
            subscriptions.add(subscription);
        }
        deliverPending();
        return subscription;
    }

    private void beforeCall(Call call, String key) throws KvException {
        interceptor.before(call, key);
        boolean read = call != Call.PUT && call != Call.DELETE;
        if (unavailable || read && readsUnavailable) {
            throw new KvUnavailableException(call + " '" + key + "': the store is down");
        }
    }

    /** Change that a write makes to the entries once its precondition is met. */
    private interface Effect {
        KvChange apply(long nextRevision);
    }

    private WriteOutcome write(String key, Expectation expected, Effect effect) throws KvAmbiguousException {
        WriteOutcome outcome;
        boolean replyLost;
        synchronized (this) {
            if (requestsToLose > 0) {
                requestsToLose--;
                throw new KvAmbiguousException("'" + key + "': request lost");
            }
            replyLost = repliesToLose > 0;
            repliesToLose = Math.max(0, repliesToLose - 1);
            outcome = apply(key, expected, effect);
        }
        deliverPending();
        if (replyLost) {
            throw new KvAmbiguousException("'" + key + "': reply lost");
        }
        return outcome;
    }

    /** Applies a write if its precondition is met, and queues its notifications; requires the lock. */
    private WriteOutcome apply(String key, Expectation expected, Effect effect) {
        writes++;
        KvEntry current = entries.get(key);
        if (!matches(expected, current)) {
            return new WriteOutcome.Conflict(Optional.ofNullable(current).map(InMemoryKvStore::copy));
        }
        revision++;
        KvChange change = effect.apply(revision);
        history.add(change);
        for (Subscription subscription : subscriptions) {
            deliveries.add(() -> subscription.notifyWatcher(change));
        }
        return new WriteOutcome.Applied(revision);
    }

    private static boolean matches(Expectation expected, KvEntry current) {
        return switch (expected) {
            case Expectation.Absent absent -> current == null;
            case Expectation.AtRevision at -> current != null && current.revision() == at.revision();
        };
    }

    /** Calls the watchers for all queued changes, unless another thread is doing so. */
    private void deliverPending() {
        while (delivering.compareAndSet(false, true)) {
            try {
                drainDeliveries();
            } finally {
                delivering.set(false);
            }
            synchronized (this) {
                if (deliveries.isEmpty()) {
                    return;
                }
            }
        }
    }

    private void drainDeliveries() {
        while (true) {
            Runnable next;
            synchronized (this) {
                next = deliveries.poll();
            }
            if (next == null) {
                return;
            }
            next.run();
        }
    }

    private static KvEntry copy(KvEntry entry) {
        return new KvEntry(entry.key(), entry.value().clone(), entry.revision());
    }

    private static long revisionOf(KvChange change) {
        return switch (change) {
            case KvChange.Written written -> written.entry().revision();
            case KvChange.Deleted deleted -> deleted.revision();
        };
    }

    private static String keyOf(KvChange change) {
        return switch (change) {
            case KvChange.Written written -> written.entry().key();
            case KvChange.Deleted deleted -> deleted.key();
        };
    }

    /** Returns the stored keys and their revisions, for assertion messages. */
    @Override
    public synchronized String toString() {
        Map<String, Long> revisionsByKey = new TreeMap<>();
        entries.forEach((key, entry) -> revisionsByKey.put(key, entry.revision()));
        return revisionsByKey.toString();
    }

    private final class Subscription implements KvSubscription {
        private final String prefix;
        private final KvWatcher watcher;
        private volatile boolean closed;

        private Subscription(String prefix, KvWatcher watcher) {
            this.prefix = prefix;
            this.watcher = watcher;
        }

        private void notifyWatcher(KvChange change) {
            if (!closed && keyOf(change).startsWith(prefix)) {
                watcher.changed(change);
            }
        }

        @Override
        public void close() {
            closed = true;
            subscriptions.remove(this);
        }
    }
}
