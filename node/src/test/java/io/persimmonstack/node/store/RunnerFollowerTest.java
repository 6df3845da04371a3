package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RunnerFollowerTest {
    private final FleetView fleet = FleetView.create();
    private final RunnerFollower follower = RunnerFollower.of("servers/", RunnerFollowerTest::decode, fleet);
    private long revision;

    /** Decodes the software version, which is the whole value; an empty value cannot be decoded. */
    private static Runner decode(String id, byte[] value) throws UnreadableException {
        String version = new String(value, StandardCharsets.UTF_8);
        if (version.isEmpty()) {
            throw new UnreadableException("version: absent");
        }
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, 1, version, "models", address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    private KvEntry entry(String id, String value) {
        return new KvEntry("servers/" + id, value.getBytes(StandardCharsets.UTF_8), ++revision);
    }

    private void write(String id, String value) {
        follower.onChanges(List.of(new KvChange.Written(entry(id, value))));
    }

    private Set<String> runners() {
        return fleet.current().runners().keySet();
    }

    /** Failure: streams were sent to a process by the entry of an earlier one, and counted as of its version. */
    @Test
    void unreadableEntryNamesNoRunner() {
        write("e1", "v1");
        write("e2", "v1");
        write("e1", "");
        assertEquals(Set.of("e2"), runners());
        write("e1", "v2");
        assertEquals(Set.of("e1", "e2"), runners());
    }

    @Test
    void unreadableEntryNamesNoRunnerAroundAnOutageEither() {
        write("e1", "v1");
        follower.onUnavailable();
        follower.onSnapshot(new KvRange(List.of(entry("e1", "")), revision));
        assertEquals(Set.of(), runners());
    }
}
