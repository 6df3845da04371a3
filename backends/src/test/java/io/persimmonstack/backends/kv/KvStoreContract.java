package io.persimmonstack.backends.kv;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.kv.WriteOutcome;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Behaviour common to all {@link KvStore}s. */
@Timeout(60)
public abstract class KvStoreContract {
    private static final int CONCURRENT_WRITERS = 8;
    private static final int LISTED_KEYS = 200;
    private static final int LIST_CALLS = 30;

    /** Returns the empty store under test. */
    protected abstract KvStore store();

    @Test
    void getOfAbsentKeyIsEmpty() throws KvException {
        assertTrue(store().get("/none").isEmpty());
    }

    @Test
    void createSucceedsOnceAndValueIsReadBack() throws KvException {
        byte[] value = {0, -1, 127, -128, '\n'};
        long revision = assertApplied(store().put("/k", value, Expectation.absent()));
        KvEntry entry = store().get("/k").orElseThrow();
        assertArrayEquals(value, entry.value());
        assertEquals(revision, entry.revision());
        WriteOutcome.Conflict conflict =
                assertInstanceOf(WriteOutcome.Conflict.class, store().put("/k", new byte[0], Expectation.absent()));
        assertArrayEquals(value, conflict.current().orElseThrow().value());
    }

    @Test
    void replaceSucceedsOnlyAtTheExpectedRevision() throws KvException {
        long first = assertApplied(store().put("/k", bytes("1"), Expectation.absent()));
        long second = assertApplied(store().put("/k", bytes("2"), Expectation.atRevision(first)));
        assertTrue(second > first);
        WriteOutcome.Conflict conflict = assertInstanceOf(
                WriteOutcome.Conflict.class, store().put("/k", bytes("3"), Expectation.atRevision(first)));
        assertEquals(second, conflict.current().orElseThrow().revision());
        assertEquals("2", text(store().get("/k").orElseThrow()));
    }

    @Test
    void absentKeyConflictsWithAnExpectedRevision() throws KvException {
        WriteOutcome.Conflict conflict =
                assertInstanceOf(WriteOutcome.Conflict.class, store().put("/k", bytes("1"), Expectation.atRevision(1)));
        assertTrue(conflict.current().isEmpty());
    }

    @Test
    void deleteSucceedsOnlyAtTheExpectedRevision() throws KvException {
        long revision = assertApplied(store().put("/k", bytes("1"), Expectation.absent()));
        assertInstanceOf(WriteOutcome.Conflict.class, store().delete("/k", Expectation.absent()));
        assertApplied(store().delete("/k", Expectation.atRevision(revision)));
        assertTrue(store().get("/k").isEmpty());
        assertInstanceOf(WriteOutcome.Conflict.class, store().delete("/k", Expectation.atRevision(revision)));
    }

    @Test
    void recreatedKeyHasANewRevision() throws KvException {
        long first = assertApplied(store().put("/k", bytes("1"), Expectation.absent()));
        assertApplied(store().delete("/k", Expectation.atRevision(first)));
        assertApplied(store().put("/k", bytes("1"), Expectation.absent()));
        assertInstanceOf(WriteOutcome.Conflict.class, store().put("/k", bytes("2"), Expectation.atRevision(first)));
    }

    @Test
    void listsExactlyThePrefixInOrder() throws KvException {
        for (String key : List.of("/p/b", "/p/a", "/p0", "/p", "/q/a", "/p/\u00e9")) {
            assertApplied(store().put(key, bytes(key), Expectation.absent()));
        }
        KvRange range = store().list("/p/");
        assertEquals(
                List.of("/p/a", "/p/b", "/p/\u00e9"),
                range.entries().stream().map(KvEntry::key).toList());
        long last = assertApplied(store().put("/q/b", bytes("x"), Expectation.absent()));
        assertEquals(last, store().list("/p/").revision());
    }

    /**
     * A list that is read in several pages must not mix revisions: the last key is written after the first one, so its
     * number may be at most one behind.
     */
    @Test
    void multiPageListIsReadAtOneRevisionDuringWrites() throws Exception {
        for (int i = 1; i < LISTED_KEYS - 1; i++) {
            assertApplied(store().put("/long/%05d".formatted(i), bytes("x"), Expectation.absent()));
        }
        String first = "/long/%05d".formatted(0);
        String last = "/long/%05d".formatted(LISTED_KEYS - 1);
        AtomicBoolean stopped = new AtomicBoolean();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<Integer> writer = threads.submit(() -> writeAlternately(first, last, stopped));
            try {
                for (int i = 0; i < LIST_CALLS; i++) {
                    List<KvEntry> entries = store().list("/long/").entries();
                    int firstValue = entries.getFirst().key().equals(first) ? number(entries.getFirst()) : 0;
                    int lastValue = entries.getLast().key().equals(last) ? number(entries.getLast()) : 0;
                    assertTrue(
                            firstValue - lastValue == 0 || firstValue - lastValue == 1,
                            firstValue + " and " + lastValue);
                    assertTrue(entries.size() >= LISTED_KEYS - 2, entries.size() + " entries");
                }
            } finally {
                stopped.set(true);
            }
            writer.get();
        }
    }

    /** Writes an increasing number to two keys, always to the first key first, and returns the last number. */
    private int writeAlternately(String first, String last, AtomicBoolean stopped) throws KvException {
        Expectation firstExpected = Expectation.absent();
        Expectation lastExpected = Expectation.absent();
        int number = 0;
        while (!stopped.get()) {
            number++;
            firstExpected =
                    Expectation.atRevision(assertApplied(store().put(first, bytes("" + number), firstExpected)));
            lastExpected = Expectation.atRevision(assertApplied(store().put(last, bytes("" + number), lastExpected)));
        }
        return number;
    }

    private static int number(KvEntry entry) {
        return Integer.parseInt(text(entry));
    }

    @Test
    void valueOfMaximumSizeIsStoredAndLargerIsRejected() throws KvException {
        byte[] value = new byte[KvStore.MAX_VALUE_BYTES];
        Arrays.fill(value, (byte) 0xfb);
        assertApplied(store().put("/large", value, Expectation.absent()));
        assertArrayEquals(value, store().get("/large").orElseThrow().value());
        assertThrows(
                IllegalArgumentException.class,
                () -> store().put("/larger", new byte[value.length + 1], Expectation.absent()));
    }

    @Test
    void exactlyOneConcurrentCreateSucceeds() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Callable<WriteOutcome>> writers = new ArrayList<>();
            for (int i = 0; i < CONCURRENT_WRITERS; i++) {
                byte[] value = bytes("writer " + i);
                writers.add(() -> store().put("/race", value, Expectation.absent()));
            }
            int successes = 0;
            for (Future<WriteOutcome> writer : threads.invokeAll(writers)) {
                successes += writer.get() instanceof WriteOutcome.Applied ? 1 : 0;
            }
            assertEquals(1, successes);
        }
    }

    @Test
    void watchReplaysFromARevisionAndContinues() throws Exception {
        assertApplied(store().put("/w/old", bytes("0"), Expectation.absent()));
        long from = assertApplied(store().put("/w/a", bytes("1"), Expectation.absent()));
        ChangeRecorder recorder = new ChangeRecorder();
        try (KvSubscription subscription = store().watch("/w/", from, recorder)) {
            assertEquals("/w/a=1", recorder.nextChange());
            assertApplied(store().put("/other", bytes("x"), Expectation.absent()));
            long second = assertApplied(store().put("/w/b", bytes("2"), Expectation.absent()));
            assertEquals("/w/b=2", recorder.nextChange());
            assertApplied(store().delete("/w/b", Expectation.atRevision(second)));
            assertEquals("/w/b deleted", recorder.nextChange());
        }
    }

    @Test
    void watchReportsChangesMadeSinceTheList() throws Exception {
        long listed = store().list("/w/").revision();
        assertApplied(store().put("/w/a", bytes("1"), Expectation.absent()));
        ChangeRecorder recorder = new ChangeRecorder();
        try (KvSubscription subscription = store().watch("/w/", listed + 1, recorder)) {
            assertEquals("/w/a=1", recorder.nextChange());
        }
    }

    /** Records changes as text: "key=value" for a write and "key deleted" for a deletion. */
    public static final class ChangeRecorder implements KvWatcher {
        private final LinkedBlockingQueue<String> changes = new LinkedBlockingQueue<>();

        @Override
        public void changed(KvChange change) {
            switch (change) {
                case KvChange.Written written -> changes.add(written.entry().key() + "=" + text(written.entry()));
                case KvChange.Deleted deleted -> changes.add(deleted.key() + " deleted");
            }
        }

        @Override
        public void ended(KvException cause) {
            changes.add("ended");
        }

        /** Returns the next change, or "nothing" if none arrives within 30 s. */
        public String nextChange() throws InterruptedException {
            String record = changes.poll(30, TimeUnit.SECONDS);
            return record == null ? "nothing" : record;
        }
    }

    /** Asserts that a write took effect and returns its revision. */
    private static long assertApplied(WriteOutcome outcome) {
        return assertInstanceOf(WriteOutcome.Applied.class, outcome).revision();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(KvEntry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8);
    }
}
