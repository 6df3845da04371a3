package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A value that a node leaves in the store. */
class StoredValueTest {
    private static final String KEY = "k";
    private static final long WAIT_SECONDS = 10;

    private final InMemoryKvStore entries = InMemoryKvStore.create();
    private final StoreWithLeases store = new StoreWithLeases(entries);
    private final AtomicReference<Optional<byte[]>> present = new AtomicReference<>(Optional.empty());
    private final StoredValue value = StoredValue.start(store, KEY, () -> 1, present::get);

    @AfterEach
    void stop() {
        value.close();
    }

    private void change(String text) {
        present.set(Optional.of(text.getBytes(StandardCharsets.UTF_8)));
        value.changed();
    }

    private String stored() throws Exception {
        return entries.get(KEY)
                .map(entry -> new String(entry.value(), StandardCharsets.UTF_8))
                .orElse("");
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadlineNanos, "not within " + WAIT_SECONDS + " s");
            Thread.sleep(1);
        }
    }

    @Test
    void lastValueIsWritten() throws Exception {
        for (int i = 0; i <= 100; i++) {
            change("value " + i);
        }
        await(() -> stored().equals("value 100"));
    }

    /** Failure: the value of the process before, or one that the store came back with, kept the new one out. */
    @Test
    void valueOfAnEarlierProcessIsReplaced() throws Exception {
        entries.put(KEY, new byte[] {1}, Expectation.absent());
        change("a");
        await(() -> stored().equals("a"));
        entries.delete(
                KEY, Expectation.atRevision(entries.get(KEY).orElseThrow().revision()));
        entries.put(KEY, new byte[] {2}, Expectation.absent());
        change("b");
        await(() -> stored().equals("b"));
    }

    /** Failure: a value that changed while the store was away was not written until it changed again. */
    @Test
    void writeThatFailedIsRepeated() throws Exception {
        AtomicInteger failures = new AtomicInteger(2);
        entries.intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.PUT && failures.getAndDecrement() > 0) {
                throw new KvUnavailableException("requested by the test");
            }
        });
        change("a");
        await(() -> stored().equals("a"));
    }

    /** Failure: a value was gone once all leases had ended, with no node there to write it again. */
    @Test
    void valueOutlivesAllLeases() throws Exception {
        change("a");
        await(() -> stored().equals("a"));
        assertEquals(0, store.granted());
        store.endLeases();
        assertEquals("a", stored());
    }

    /** Failure: a value that the store had lost, or come back with in an older form, stayed so until it changed. */
    @Test
    void valueIsWrittenAgainOverAnOlderOne() throws Exception {
        change("a");
        await(() -> stored().equals("a"));
        entries.put(
                KEY,
                new byte[] {1},
                Expectation.atRevision(entries.get(KEY).orElseThrow().revision()));
        value.changed();
        await(() -> stored().equals("a"));
    }
}
