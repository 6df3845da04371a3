package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.runtime.event.EventLog;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Follows all keys below a prefix: reads them, watches them, and reads them anew whenever the watch ends. */
public final class PrefixFollower implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(PrefixFollower.class);
    private static final int FIRST_BACKOFF_MS = 50;
    private static final int MAX_BACKOFF_MS = 500;
    private final KvStore store;
    private final String prefix;
    private final Listener listener;
    private final Thread thread;
    private long lostNanos;
    private int backoffMs = FIRST_BACKOFF_MS;

    /** Receives the keys and their changes, one call at a time. */
    public interface Listener {
        /** All keys as they are now. */
        void read(KvRange range);

        /** One key has changed. */
        void changed(KvChange change);

        /** Returns how long changes may gather before the next ones are told, in milliseconds. */
        default int gatherMs() {
            return 0;
        }

        /** The service gave no answer; what is known may be old. */
        default void lost() {}
    }

    private PrefixFollower(KvStore store, String prefix, Listener listener) {
        this.store = store;
        this.prefix = prefix;
        this.listener = listener;
        this.thread = Thread.ofVirtual().name("follow-" + prefix).unstarted(this::run);
    }

    /**
     * Starts to follow a prefix.
     *
     * @param store store to read
     * @param prefix beginning of the keys
     * @param listener receives the keys
     */
    public static PrefixFollower start(KvStore store, String prefix, Listener listener) {
        PrefixFollower follower = new PrefixFollower(store, prefix, listener);
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
            KvRange range = store.list(prefix);
            regained(range.revision());
            listener.read(range);
            watch(range.revision() + 1);
        } catch (KvException e) {
            lost(e);
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(backoffMs / 2, backoffMs));
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        }
    }

    private void watch(long fromRevision) throws KvException, InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        KvWatcher watcher = new KvWatcher() {
            @Override
            public void changed(KvChange change) {
                listener.changed(change);
            }

            @Override
            public int gatherMs() {
                return listener.gatherMs();
            }

            @Override
            public void ended(KvException cause) {
                ended.countDown();
            }
        };
        try (KvSubscription subscription = store.watch(prefix, fromRevision, watcher)) {
            ended.await();
        }
    }

    private void lost(KvException cause) {
        if (lostNanos == 0) {
            lostNanos = System.nanoTime();
            LOG.write(NodeEvent.STORE_LOST, prefix, cause.getMessage());
        }
        listener.lost();
    }

    private void regained(long revision) {
        if (lostNanos != 0) {
            long lostMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lostNanos);
            LOG.write(NodeEvent.STORE_REGAINED, prefix, revision, lostMs);
            lostNanos = 0;
        }
        backoffMs = FIRST_BACKOFF_MS;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
