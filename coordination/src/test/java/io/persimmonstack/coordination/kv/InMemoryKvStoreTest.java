package io.persimmonstack.coordination.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the fault injection of {@link InMemoryKvStore}; the store contract itself is tested in the platform module. */
class InMemoryKvStoreTest {
    private final InMemoryKvStore store = InMemoryKvStore.create();

    @Test
    void unavailableStoreRejectsCallsWithoutEffect() throws KvException {
        store.unavailable(true);
        assertThrows(KvUnavailableException.class, () -> store.put("/a", new byte[1], Expectation.absent()));
        assertThrows(KvUnavailableException.class, () -> store.get("/a"));
        store.unavailable(false);
        assertTrue(store.get("/a").isEmpty());
    }

    @Test
    void writeWithLostReplyTakesEffect() throws KvException {
        store.loseReplies(1);
        assertThrows(KvAmbiguousException.class, () -> store.put("/a", new byte[1], Expectation.absent()));
        assertEquals(1, store.get("/a").orElseThrow().revision());
    }

    @Test
    void lostRequestHasNoEffect() throws KvException {
        store.loseRequests(1);
        assertThrows(KvAmbiguousException.class, () -> store.put("/a", new byte[1], Expectation.absent()));
        assertTrue(store.get("/a").isEmpty());
    }
}
