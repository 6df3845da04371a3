package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against values that stay in the store for good, or that are removed while their node is there. */
class AbandonedValuesTest {
    private static final String PREFIX = "p/";
    private static final int KEPT_MS = 1_000;

    private Set<String> nodes = Set.of("a");
    private long nowNanos;
    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final List<Object> passedOn = new ArrayList<>();
    private final AbandonedValues values =
            AbandonedValues.of(new Recorder(), PREFIX, KEPT_MS, store, "a", () -> nodes, () -> nowNanos);
    /** Records what is passed on. */
    private final class Recorder implements StoreFollower.Listener {
        @Override
        public void onSnapshot(KvRange range) {
            passedOn.add(range);
        }

        @Override
        public void onChanges(List<KvChange> changes) {
            passedOn.addAll(changes);
        }
    }

    private void write(String node) throws KvException {
        store.put(PREFIX + node, new byte[] {1}, Expectation.absent());
    }

    private void read() throws KvException {
        values.onSnapshot(store.list(PREFIX));
    }

    private void pass(int ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
        values.remove();
    }

    private List<String> keys() throws KvException {
        return store.list(PREFIX).entries().stream().map(KvEntry::key).toList();
    }

    @Test
    void valueOfANodeThatIsGoneIsRemovedAfterAWhile() throws Exception {
        write("gone");
        read();
        pass(KEPT_MS);
        assertEquals(List.of("p/gone"), keys());
        pass(1);
        assertEquals(List.of(), keys());
    }

    @Test
    void valueOfAListedNodeIsKept() throws Exception {
        write("a");
        write("b");
        nodes = Set.of("a", "b");
        read();
        pass(10 * KEPT_MS);
        nodes = Set.of("a");
        pass(KEPT_MS);
        assertEquals(List.of("p/a", "p/b"), keys());
        pass(1);
        assertEquals(List.of("p/a"), keys());
    }

    @Test
    void valueThatWasWrittenAnewIsKept() throws Exception {
        write("gone");
        read();
        pass(KEPT_MS);
        long revision = store.get("p/gone").orElseThrow().revision();
        store.put("p/gone", new byte[] {2}, Expectation.atRevision(revision));
        pass(1);
        assertEquals(List.of("p/gone"), keys());
        values.onChanges(List.of(new KvChange.Written(store.get("p/gone").orElseThrow())));
        pass(KEPT_MS);
        assertEquals(List.of("p/gone"), keys());
        assertEquals(2, passedOn.size());
    }

    @Test
    void oneNodeRemoves() throws Exception {
        for (int i = 0; i < 20; i++) {
            write("gone" + i);
        }
        nodes = Set.of("a", "b");
        read();
        pass(KEPT_MS + 1);
        int left = keys().size();
        assertEquals(true, left > 0 && left < 20, left + " left to the other node");
        nodes = Set.of("b");
        pass(KEPT_MS);
        assertEquals(left, keys().size());
    }
}
