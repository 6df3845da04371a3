package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RunnerFollowerTest {
    private static final String LEAVING = " leaving";
    private static final long SERVING_MS = 2_000;
    private final FleetView fleet = FleetView.create(OptionalLong.of(SERVING_MS));
    private final RunnerFollower follower = RunnerFollower.of("servers/", RunnerFollowerTest::decode, fleet);
    private long revision;

    /** Decodes the software version and whether the runner is leaving; an empty value cannot be decoded. */
    private static Runner decode(String id, byte[] value) throws UnreadableException {
        String text = new String(value, StandardCharsets.UTF_8);
        if (text.isEmpty()) {
            throw new UnreadableException("version: absent");
        }
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        String version = text.replace(LEAVING, "");
        boolean leaving = text.endsWith(LEAVING);
        return new Runner(id, 1, version, "models", address, "z", 4, leaving, List.of(), Set.of(), Set.of());
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

    private boolean takesRests(String id) {
        return fleet.leavingServesUntilNanos(fleet.current().runners().get(id)).isPresent();
    }

    private static long afterSettlingNanos() {
        return System.nanoTime() + RunnerFollower.SETTLING_NANOS;
    }

    private static KvRange range(KvEntry... entries) {
        return new KvRange(List.of(entries), entries[0].revision());
    }

    @Test
    void timeOfALeavingRunnerCountsFromTheAnswerBefore() {
        follower.onSnapshot(range(entry("e1", "v1")));
        long completeUpToNanos = afterSettlingNanos();
        follower.onCompleteUpTo(completeUpToNanos);
        write("e1", "v1" + LEAVING);
        follower.onCompleteUpTo(completeUpToNanos + 1);
        long usableNanos = TimeUnit.MILLISECONDS.toNanos(SERVING_MS) / 2;
        assertEquals(
                OptionalLong.of(completeUpToNanos + usableNanos),
                fleet.leavingServesUntilNanos(fleet.current().runners().get("e1")));
    }

    /** The store may have lost what it accepted, so that a change that comes now may be older than it seems. */
    @Test
    void timeOfALeavingRunnerIsNotKnownAroundAnOutageOrAReread() {
        follower.onSnapshot(range(entry("e1", "v1"), entry("e2", "v1"), entry("e3", "v1")));
        follower.onCompleteUpTo(System.nanoTime());
        write("e1", "v1" + LEAVING);
        assertFalse(takesRests("e1"), "soon after the first read");
        follower.onCompleteUpTo(afterSettlingNanos());
        follower.onUnavailable();
        write("e2", "v1" + LEAVING);
        assertFalse(takesRests("e2"), "soon after an outage");
        follower.onCompleteUpTo(afterSettlingNanos());
        follower.onSnapshot(range(entry("e3", "v1" + LEAVING)));
        assertFalse(takesRests("e3"), "found by a reread");
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

    /** Guards against requests to a leaving runner after the store came back from a copy in which it still served. */
    @Test
    void runnerThatLeavesIsNotTakenBackByAnOlderCopyOfItsEntry() {
        follower.onSnapshot(range(entry("e1", "v1")));
        write("e1", "v1" + LEAVING);
        follower.onUnavailable();
        follower.onSnapshot(range(entry("e1", "v1")));
        assertTrue(fleet.current().runners().get("e1").leaving());
    }
}
