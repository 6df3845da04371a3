package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.kv.WatchTimes;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.runtime.event.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Reads the keys below several prefixes and watches them for changes. One watch covers all prefixes, because each call
 * to the store is priced. Whenever the watch ends, everything is read again; failures are retried with backoff. A
 * listener that throws an unexpected exception gets a snapshot again, and does not keep the others from theirs.
 */
public final class StoreFollower implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoreFollower.class);
    private static final String ALL_KEYS = "";
    private static final int MIN_BACKOFF_MS = 50;
    private static final int MAX_BACKOFF_MS = 500;
    /** Time after which everything is read again for a listener that failed on its snapshot. */
    private static final int FAILED_LISTENER_RETRY_MS = 5_000;

    private final KvStore store;
    private final List<FollowedPrefix> prefixes;
    private final Supplier<WatchTimes> times;
    private final Thread thread = Thread.ofVirtual().name("follow-store").unstarted(this::run);
    private volatile long unavailableSinceNanos;
    private volatile long completeUpToNanos = System.nanoTime();
    private int backoffMs = MIN_BACKOFF_MS;
    private boolean listenerFailed;
    private volatile boolean closed;

    /** Receives the entries below a prefix and their changes. Calls do not overlap. */
    public interface Listener {
        /** Receives all entries at one revision; those known before and missing now were removed. */
        void onSnapshot(KvRange range);

        /** Receives changes in the order of their revisions. */
        void onChanges(List<KvChange> changes);

        /** Reports that all changes that the store accepted before a monotonic time have been passed on. */
        default void onCompleteUpTo(long nanos) {}

        /** Reports that the store is unavailable, so the known entries may be outdated. */
        default void onUnavailable() {}
    }

    /**
     * Prefix to follow.
     *
     * @param prefix prefix of the keys
     * @param listener receives the entries below it and their changes
     */
    public record FollowedPrefix(String prefix, Listener listener) {}

    private StoreFollower(KvStore store, List<FollowedPrefix> prefixes, Supplier<WatchTimes> times) {
        this.store = store;
        this.prefixes = prefixes;
        this.times = times;
    }

    /**
     * Starts following on a virtual thread.
     *
     * @param store store to read and watch
     * @param prefixes prefixes to follow, read in this order
     * @param times returns the durations of the next poll
     */
    public static StoreFollower start(KvStore store, List<FollowedPrefix> prefixes, Supplier<WatchTimes> times) {
        StoreFollower follower = new StoreFollower(store, List.copyOf(prefixes), times);
        follower.thread.start();
        return follower;
    }

    private void run() {
        try {
            while (!closed) {
                readAndWatch();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readAndWatch() throws InterruptedException {
        try {
            watch(readAll());
        } catch (KvException | RuntimeException | Error e) {
            recordUnavailable(e);
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(backoffMs / 2, backoffMs));
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
    }

    private List<Cursor> readAll() throws KvException {
        List<Cursor> cursors = new ArrayList<>();
        listenerFailed = false;
        for (FollowedPrefix followed : prefixes) {
            long askedNanos = System.nanoTime();
            KvRange range = store.list(followed.prefix());
            listenerFailed |= !notified(followed, () -> {
                followed.listener().onSnapshot(range);
                followed.listener().onCompleteUpTo(askedNanos);
            });
            cursors.add(new Cursor(followed, range.revision()));
        }
        recordAvailable();
        backoffMs = MIN_BACKOFF_MS;
        return cursors;
    }

    /** Runs a call of a listener; returns false if it failed with an unexpected exception, which is logged. */
    private static boolean notified(FollowedPrefix followed, Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            LOG.write(NodeEvent.STORE_STEP_FAILED, "keys of " + followed.prefix(), e.toString(), e);
            return false;
        }
    }

    /**
     * Prefix and the revision of its snapshot. The watch of all prefixes starts after the lowest revision, so each
     * cursor skips the changes that its snapshot already contains.
     */
    private record Cursor(FollowedPrefix followed, long revision) {
        /** Passes on the changes that are new; returns false if the listener failed. */
        private boolean deliver(List<KvChange> changes) {
            List<KvChange> newChanges = changes.stream()
                    .filter(change -> key(change).startsWith(followed.prefix()) && revision(change) > revision)
                    .toList();
            return newChanges.isEmpty()
                    || notified(followed, () -> followed.listener().onChanges(newChanges));
        }

        private static String key(KvChange change) {
            return switch (change) {
                case KvChange.Written written -> written.entry().key();
                case KvChange.Deleted deleted -> deleted.key();
            };
        }

        private static long revision(KvChange change) {
            return switch (change) {
                case KvChange.Written written -> written.entry().revision();
                case KvChange.Deleted deleted -> deleted.revision();
            };
        }
    }

    private void watch(List<Cursor> cursors) throws KvException, InterruptedException {
        long lowestRevision = cursors.stream().mapToLong(Cursor::revision).min().orElse(0);
        CountDownLatch ended = new CountDownLatch(1);
        KvWatcher watcher = new KvWatcher() {
            @Override
            public void changed(KvChange change) {
                changed(List.of(change));
            }

            @Override
            public void changed(List<KvChange> changes) {
                boolean failed = false;
                for (Cursor cursor : cursors) {
                    failed |= !cursor.deliver(changes);
                }
                if (failed) {
                    ended.countDown();
                }
            }

            @Override
            public void completeUpTo(long nanos) {
                recordComplete(nanos);
                if (ended.getCount() > 0) {
                    prefixes.forEach(followed ->
                            notified(followed, () -> followed.listener().onCompleteUpTo(nanos)));
                }
            }

            @Override
            public WatchTimes times() {
                return times.get();
            }

            @Override
            public void silent(KvException cause) {
                recordUnavailable(cause);
            }

            @Override
            public void ended(KvException cause) {
                if (!closed) {
                    LOG.write(NodeEvent.STORE_WATCH_ENDED, cause.getMessage(), unconfirmedMs());
                }
                ended.countDown();
            }
        };
        try (KvSubscription subscription = store.watch(ALL_KEYS, lowestRevision + 1, watcher)) {
            if (listenerFailed) {
                ended.await(FAILED_LISTENER_RETRY_MS, TimeUnit.MILLISECONDS);
            } else {
                ended.await();
            }
        }
    }

    /** Returns how old the last confirmation is that all changes are known, in milliseconds. */
    private long unconfirmedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - completeUpToNanos);
    }

    private void recordUnavailable(Throwable cause) {
        if (unavailableSinceNanos == 0) {
            unavailableSinceNanos = System.nanoTime();
            LOG.write(NodeEvent.STORE_LOST, cause.toString());
        }
        prefixes.forEach(followed -> notified(followed, followed.listener()::onUnavailable));
    }

    private void recordComplete(long nanos) {
        completeUpToNanos = nanos;
        recordAvailable();
    }

    private void recordAvailable() {
        if (unavailableSinceNanos != 0) {
            long unavailableMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - unavailableSinceNanos);
            LOG.write(NodeEvent.STORE_REGAINED, unavailableMs);
            unavailableSinceNanos = 0;
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
