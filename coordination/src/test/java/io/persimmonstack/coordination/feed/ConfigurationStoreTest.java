package io.persimmonstack.coordination.feed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvAmbiguousException;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.coordination.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationStoreTest {
    private static final byte[] CONTENT = "sheet".getBytes(StandardCharsets.UTF_8);
    private final InMemoryKvStore kv = InMemoryKvStore.create();
    private final ConfigurationStore store = ConfigurationStore.of(kv, new TextCodec(), TimeSource.system());

    /** Codec that joins the fields with spaces; operations contain none. */
    private static final class TextCodec implements RecordCodec<ConfigurationHead> {
        @Override
        public byte[] encode(ConfigurationHead head) {
            String text = head.version() + " " + head.operation() + " " + head.chunks() + " " + head.digest() + " "
                    + head.author() + " " + String.join(" ", head.earlierOperations());
            return text.getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public ConfigurationHead decode(byte[] bytes) {
            String[] fields = new String(bytes, StandardCharsets.UTF_8).split(" ");
            List<String> earlier = Arrays.asList(fields).subList(5, fields.length);
            return new ConfigurationHead(
                    Long.parseLong(fields[0]),
                    fields[1],
                    Integer.parseInt(fields[2]),
                    fields[3],
                    0,
                    fields[4],
                    earlier);
        }
    }

    private ConfigurationHead commit(long base, byte[] content, String operation) throws KvException {
        return assertInstanceOf(CommitOutcome.Committed.class, store.commit(base, content, operation, "planner"))
                .head();
    }

    @Test
    void contentLargerThanOneValueIsReadBack() throws Exception {
        byte[] large = new byte[2_500_000];
        new java.util.Random(5).nextBytes(large);
        ConfigurationHead head = commit(0, large, "op-1");
        assertEquals(3, head.chunks());
        assertArrayEquals(
                large, store.readContent(store.readHead().orElseThrow().head()));
    }

    @Test
    void corruptContentIsRejected() throws Exception {
        ConfigurationHead head = commit(0, CONTENT, "op-1");
        String key = "/persimmon/config/1/op-1/0";
        KvEntry chunk = kv.get(key).orElseThrow();
        kv.put(key, new byte[] {1}, Expectation.atRevision(chunk.revision()));
        assertThrows(KvCorruptException.class, () -> store.readContent(head));
    }

    /** The fault affects the nth write of a commit: 1 is the chunk, 2 is the head. */
    @ParameterizedTest(name = "{0} at write {1}")
    @CsvSource({"reply lost, 1", "reply lost, 2", "request lost, 1", "request lost, 2"})
    void ambiguousWriteIsResolvedByReading(String fault, int faultyWrite) throws Exception {
        AtomicInteger writes = new AtomicInteger();
        kv.intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.PUT && writes.incrementAndGet() == faultyWrite) {
                if (fault.equals("reply lost")) {
                    kv.loseReplies(1);
                } else {
                    kv.loseRequests(1);
                }
            }
        });
        assertEquals(1, commit(0, CONTENT, "op-1").version());
        assertEquals(1, store.readHead().orElseThrow().head().version());
        assertArrayEquals(
                CONTENT, store.readContent(store.readHead().orElseThrow().head()));
    }

    @Test
    void lostReplyIsResolvedAfterALaterCommit() throws Exception {
        AtomicInteger writes = new AtomicInteger();
        kv.intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.PUT && writes.incrementAndGet() == 2) {
                kv.loseReplies(1);
            } else if (call == InMemoryKvStore.Call.GET && writes.get() == 2) {
                kv.unavailable(true);
            }
        });
        assertThrows(KvUnavailableException.class, () -> store.commit(0, CONTENT, "op-1", "planner"));
        kv.intercept((call, key) -> {});
        kv.unavailable(false);
        commit(1, CONTENT, "op-2");
        assertEquals(
                2, commit(0, CONTENT, "op-1").version(), "the repeated commit is recognised and not written again");
        assertEquals(2, store.readHead().orElseThrow().head().version());
    }

    @Test
    void concurrentCommitConflictsAndLeavesTheWinnersContentIntact() throws Exception {
        byte[] other = "other sheet".getBytes(StandardCharsets.UTF_8);
        AtomicInteger headWrites = new AtomicInteger();
        kv.intercept((call, key) -> {
            boolean headWrite = call == InMemoryKvStore.Call.PUT && key.equals(ConfigurationStore.HEAD_KEY);
            if (headWrite && headWrites.incrementAndGet() == 1) {
                store.commit(0, other, "op-b", "night shift");
            }
        });
        CommitOutcome outcome = store.commit(0, CONTENT, "op-a", "planner");
        CommitOutcome.Conflict conflict = assertInstanceOf(CommitOutcome.Conflict.class, outcome);
        assertEquals("op-b", conflict.current().orElseThrow().operation());
        assertArrayEquals(
                other, store.readContent(store.readHead().orElseThrow().head()));
    }

    /**
     * Operator B commits before the nth call of operator A's commit; the last column names whose content becomes
     * active.
     */
    @ParameterizedTest(name = "B commits before call {0} of A, fault of A''s head write: {1}")
    @CsvSource({
        "1, none, B",
        "2, none, B",
        "3, none, B",
        "4, reply lost, A",
        "3, reply lost, B",
        "3, request lost, B",
        "4, request lost, B",
        "5, request lost, B",
        "6, request lost, B",
    })
    void exactlyOneOfTwoConcurrentCommitsSucceeds(int callOfA, String fault, String winner) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        AtomicInteger headWrites = new AtomicInteger();
        AtomicBoolean committingB = new AtomicBoolean();
        List<CommitOutcome> outcomesOfB = new ArrayList<>();
        kv.intercept((call, key) -> {
            if (committingB.get()) {
                return;
            }
            if (calls.incrementAndGet() == callOfA) {
                committingB.set(true);
                outcomesOfB.add(store.commit(0, "other sheet".getBytes(StandardCharsets.UTF_8), "op-b", "night shift"));
                committingB.set(false);
            }
            if (call == InMemoryKvStore.Call.PUT && key.equals(ConfigurationStore.HEAD_KEY)) {
                injectFaultIntoFirstHeadWrite(fault, headWrites.incrementAndGet());
            }
        });
        CommitOutcome outcomeOfA = store.commit(0, CONTENT, "op-a", "planner");
        assertEquals(winner.equals("A"), outcomeOfA instanceof CommitOutcome.Committed);
        assertEquals(winner.equals("B"), outcomesOfB.get(0) instanceof CommitOutcome.Committed);
        ConfigurationHead head = store.readHead().orElseThrow().head();
        assertEquals(1, head.version());
        assertEquals(winner.equals("A") ? "op-a" : "op-b", head.operation());
    }

    private void injectFaultIntoFirstHeadWrite(String fault, int headWrite) {
        if (headWrite == 1 && fault.equals("reply lost")) {
            kv.loseReplies(1);
        } else if (headWrite == 1 && fault.equals("request lost")) {
            kv.loseRequests(1);
        }
    }

    @Test
    void commitFromAStaleBaseConflicts() throws Exception {
        commit(0, CONTENT, "op-1");
        commit(1, CONTENT, "op-2");
        assertInstanceOf(CommitOutcome.Conflict.class, store.commit(1, CONTENT, "op-3", "planner"));
    }

    @Test
    void persistentAmbiguityIsReported() {
        kv.loseRequests(100);
        assertThrows(KvAmbiguousException.class, () -> store.commit(0, CONTENT, "op-1", "planner"));
    }

    @Test
    void chunksOfOldVersionsAreDeleted() throws Exception {
        for (int version = 0; version < 12; version++) {
            commit(version, CONTENT, "op-" + version);
        }
        assertTrue(kv.list("/persimmon/config/3/").entries().isEmpty());
        assertFalse(kv.list("/persimmon/config/5/").entries().isEmpty());
    }

    @Test
    void feedNeverGoesBackAndSkipsUndecodableContent() throws Exception {
        ConfigurationFeed<String> feed = ConfigurationFeed.of("", ConfigurationStoreTest::decode, current -> {});
        assertFalse(feed.isInitialised());
        feed.refresh(store);
        assertTrue(feed.isInitialised(), "the feed has learnt that no configuration exists");
        commit(0, CONTENT, "op-1");
        assertTrue(feed.refresh(store));
        assertTrue(feed.offer(7, CONTENT));
        assertFalse(feed.offer(6, "older".getBytes(StandardCharsets.UTF_8)));
        assertFalse(feed.offer(8, "broken".getBytes(StandardCharsets.UTF_8)));
        assertFalse(feed.refresh(store), "the stored version is older than the one from a peer");
        assertEquals(7, feed.current().version());
        assertEquals("sheet", feed.current().configuration());
    }

    private static Optional<String> decode(byte[] content) {
        String text = new String(content, StandardCharsets.UTF_8);
        return text.equals("broken") ? Optional.empty() : Optional.of(text);
    }
}
