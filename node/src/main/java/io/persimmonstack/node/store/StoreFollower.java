package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.runtime.event.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Follows the keys below several prefixes: reads them, watches them all by one watch, since each call is priced, and
 * reads them anew whenever the watch ends.
 */
public final class StoreFollower implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoreFollower.class);
    private static final String ALL_KEYS = "";
    private static final int FIRST_BACKOFF_MS = 50;
    private static final int MAX_BACKOFF_MS = 500;
    private final KvStore store;
    private final List<Subject> subjects;
    private final IntSupplier gatherMs;
    private final Thread thread = Thread.ofVirtual().name("follow-store").unstarted(this::run);
    private long lostNanos;
    private int backoffMs = FIRST_BACKOFF_MS;

    /** Receives the keys and their changes, one call at a time. */
    public interface Listener {
        /** All keys as they are now. */
        void read(KvRange range);

        /** Keys have changed, in this order. */
        void changed(List<KvChange> changes);

        /** The service gave no answer; what is known may be old. */
        default void lost() {}
    }

    /**
     * Keys to follow.
     *
     * @param prefix beginning of the keys
     * @param listener receives them
     */
    public record Subject(String prefix, Listener listener) {}

    private StoreFollower(KvStore store, List<Subject> subjects, IntSupplier gatherMs) {
        this.store = store;
        this.subjects = subjects;
        this.gatherMs = gatherMs;
    }

    /**
     * Starts to follow keys.
     *
     * @param store store to read
     * @param subjects keys to follow, read in this order
     * @param gatherMs how long changes may gather before the next ones are told, in milliseconds
     */
    public static StoreFollower start(KvStore store, List<Subject> subjects, IntSupplier gatherMs) {
        StoreFollower follower = new StoreFollower(store, List.copyOf(subjects), gatherMs);
        follower.thread.start();
        return follower;
    }

    private void run() {
        try {
            while (true) {
                follow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void follow() throws InterruptedException {
        try {
            watch(read());
        } catch (KvException e) {
            lost(e);
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(backoffMs / 2, backoffMs));
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
    }

    private List<Cursor> read() throws KvException {
        List<Cursor> cursors = new ArrayList<>();
        for (Subject subject : subjects) {
            KvRange range = store.list(subject.prefix());
            subject.listener().read(range);
            cursors.add(new Cursor(subject, range.revision()));
        }
        regained(cursors);
        return cursors;
    }

    /** Keys of a subject, known up to a revision; the watch begins at the lowest of all. */
    private record Cursor(Subject subject, long revision) {
        private void tell(List<KvChange> changes) {
            List<KvChange> news = changes.stream()
                    .filter(change -> key(change).startsWith(subject.prefix()) && revision(change) > revision)
                    .toList();
            if (!news.isEmpty()) {
                subject.listener().changed(news);
            }
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
        long known = cursors.stream().mapToLong(Cursor::revision).min().orElse(0);
        CountDownLatch ended = new CountDownLatch(1);
        KvWatcher watcher = new KvWatcher() {
            @Override
            public void changed(KvChange change) {
                changed(List.of(change));
            }

            @Override
            public void changed(List<KvChange> changes) {
                cursors.forEach(cursor -> cursor.tell(changes));
            }

            @Override
            public int batchDelayMs() {
                return gatherMs.getAsInt();
            }

            @Override
            public void ended(KvException cause) {
                ended.countDown();
            }
        };
        try (KvSubscription subscription = store.watch(ALL_KEYS, known + 1, watcher)) {
            ended.await();
        }
    }

    private void lost(KvException cause) {
        if (lostNanos == 0) {
            lostNanos = System.nanoTime();
            LOG.write(NodeEvent.STORE_LOST, cause.getMessage());
        }
        subjects.forEach(subject -> subject.listener().lost());
    }

    private void regained(List<Cursor> cursors) {
        if (lostNanos != 0) {
            long lostMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lostNanos);
            LOG.write(NodeEvent.STORE_REGAINED, cursors.getLast().revision(), lostMs);
            lostNanos = 0;
        }
        backoffMs = FIRST_BACKOFF_MS;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
