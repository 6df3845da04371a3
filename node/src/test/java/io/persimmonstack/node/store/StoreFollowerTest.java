package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvWatcher;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against lost and duplicate changes when one watch serves the prefixes of several listeners. */
class StoreFollowerTest {
    private static final long WAIT_SECONDS = 10;
    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final RecordingListener a = new RecordingListener();
    private final RecordingListener b = new RecordingListener();
    private StoreFollower follower;

    @AfterEach
    void stop() {
        follower.close();
    }

    @Test
    void deliversEachChangeOnceToTheListenerOfItsPrefix() throws Exception {
        write("a/1", "old");
        start();
        assertEquals("read a/1=old", a.next());
        assertEquals("read", b.next());
        write("b/1", "new");
        write("c/1", "of nobody");
        write("a/1", "newer");
        assertEquals("written b/1=new", b.next());
        assertEquals("written a/1=newer", a.next());
    }

    @Test
    void doesNotDeliverChangesThatALaterSnapshotContains() throws Exception {
        store.intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.LIST && key.equals("b/")) {
                store.intercept((other, ignored) -> {});
                write("b/1", "before the read of b");
                write("a/1", "after the read of a");
            }
        });
        start();
        assertEquals("read", a.next());
        assertEquals("read b/1=before the read of b", b.next());
        assertEquals("written a/1=after the read of a", a.next());
        write("b/2", "next");
        assertEquals("written b/2=next", b.next());
    }

    @Test
    void rereadsAllPrefixesWhenTheWatchEnds() throws Exception {
        start();
        assertEquals("read", a.next());
        assertEquals("read", b.next());
        write("a/1", "x");
        assertEquals("written a/1=x", a.next());
        store.endWatches();
        assertEquals("read a/1=x", a.next());
        assertEquals("read", b.next());
    }

    @Test
    void notifiesListenersOfAnOutage() throws Exception {
        store.unavailable(true);
        start();
        assertEquals("lost", a.next());
        assertEquals("lost", b.next());
        store.unavailable(false);
        while (!b.next().equals("read")) {
            continue;
        }
    }

    /** The exception used to end the thread, so that no listener heard of the store again. */
    @Test
    void unexpectedErrorInASnapshotLeavesTheOtherListenersServed() throws Exception {
        a.failNext();
        start();
        assertEquals("read", b.next());
        write("b/1", "new");
        assertEquals("written b/1=new", b.next());
        assertEquals("read", a.next());
    }

    /** The exception used to end the watch without a word, so that the follower waited for ever. */
    @Test
    void unexpectedErrorInAChangeIsFollowedByASnapshot() throws Exception {
        start();
        assertEquals("read", a.next());
        assertEquals("read", b.next());
        a.failNext();
        write("a/1", "x");
        assertEquals("read a/1=x", a.next());
        assertEquals("read", b.next());
    }

    private void start() {
        follower = StoreFollower.start(
                store,
                List.of(new StoreFollower.FollowedPrefix("a/", a), new StoreFollower.FollowedPrefix("b/", b)),
                () -> KvWatcher.DEFAULT_TIMES);
    }

    private void write(String key, String value) throws KvException {
        store.put(
                key,
                value.getBytes(),
                store.get(key)
                        .map(entry -> Expectation.atRevision(entry.revision()))
                        .orElseGet(Expectation::absent));
    }

    private static final class RecordingListener implements StoreFollower.Listener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final AtomicBoolean failing = new AtomicBoolean();

        /** Makes the next call of this listener fail. */
        private void failNext() {
            failing.set(true);
        }

        private void failIfRequested() {
            if (failing.compareAndSet(true, false)) {
                throw new IllegalStateException("requested by the test");
            }
        }

        private String next() throws InterruptedException {
            return String.valueOf(events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        }

        @Override
        public void onSnapshot(KvRange range) {
            failIfRequested();
            StringBuilder text = new StringBuilder("read");
            range.entries()
                    .forEach(entry ->
                            text.append(' ').append(entry.key()).append('=').append(new String(entry.value())));
            events.add(text.toString());
        }

        @Override
        public void onChanges(List<KvChange> changes) {
            failIfRequested();
            changes.forEach(this::recordChange);
        }

        private void recordChange(KvChange change) {
            switch (change) {
                case KvChange.Written written ->
                    events.add("written " + written.entry().key() + "="
                            + new String(written.entry().value()));
                case KvChange.Deleted deleted -> events.add("deleted " + deleted.key());
            }
        }

        @Override
        public void onUnavailable() {
            events.add("lost");
        }
    }
}
