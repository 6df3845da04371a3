package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.UnreadableException;
import io.persimmonstack.wire.PeerAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Versions that a node reads from the store because its own picture may be outdated. */
@Timeout(30)
class StoredVersionsTest {
    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("s", "v2");
    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final StoredVersions versions = StoredVersions.of(store, "servers/", StoredVersionsTest::decode);

    private static Runner decode(String id, byte[] value) throws UnreadableException {
        if (value.length == 0) {
            throw new UnreadableException("version: absent");
        }
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        String version = new String(value, StandardCharsets.UTF_8);
        return new Runner(id, 1, version, "s", address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    private void write(String key, byte[] value) throws Exception {
        store.put(key, value, Expectation.absent());
    }

    private void writeRunner(String id, String version) throws Exception {
        write("servers/" + id, version.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void versionsOfRunnersAndThoseThatNodesRecordedAreRead() throws Exception {
        writeRunner("r1", "v1");
        writeRunner("unreadable", "");
        assertEquals(Optional.of(Set.of(V1)), versions.read());
        write(NodeKeys.streams("n"), StreamRecordCodec.encode(List.of(new VersionStreams(V2, List.of()))));
        assertEquals(Optional.of(Set.of(V1, V2)), versions.read());
    }

    @Test
    void nothingIsReadFromAStoreThatDoesNotAnswer() throws Exception {
        store.intercept((call, key) -> {
            throw new KvUnavailableException("requested by the test");
        });
        assertEquals(Optional.empty(), versions.read());
        store.intercept((call, key) -> {});
        assertEquals(Optional.of(Set.of()), versions.read());
    }

    /** A read that began before a request came in may lack what was written just then. */
    @Test
    void requestsShareOnlyReadsThatBeginAfterThem() throws Exception {
        writeRunner("r1", "v1");
        AtomicInteger lists = new AtomicInteger();
        store.intercept((call, key) -> {
            if (lists.incrementAndGet() == 2) {
                // The runners have been read, and the records of the nodes are about to be.
                sleep();
            }
        });
        Thread first = Thread.ofVirtual().start(this::readQuietly);
        while (lists.get() < 2) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        writeRunner("r2", "v2");
        assertEquals(Optional.of(Set.of(V1, V2)), versions.read());
        first.join();
    }

    private void readQuietly() {
        try {
            versions.read();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
