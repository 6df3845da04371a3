package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a node leaves in the store about its streams, and what another process makes of it. */
class OriginPublisherTest {
    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("s", "v2");
    private static final StreamOrigin OTHER = new StreamOrigin("t", "v1");
    private static final long VALID_MS = 20_000;

    private final AtomicInteger changes = new AtomicInteger();
    private final OriginPublisher publisher = OriginPublisher.of("n", changes::incrementAndGet);
    private final StoredOrigins stored = StoredOrigins.create();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static DeliveredStream stream(String request, StreamOrigin origin) {
        return DeliveredStream.of(request, origin, VALID_MS);
    }

    private List<VersionStreams> record(OriginPublisher of, long nowNanos) throws Exception {
        return StreamRecordCodec.decode(of.record(nowNanos).orElseThrow());
    }

    private Optional<StreamOrigin> found(String request, long nowNanos) throws Exception {
        StoredOrigins read = StoredOrigins.create();
        read.add(record(publisher, nowNanos), nowNanos);
        return read.find(request, nowNanos);
    }

    @Test
    void streamsOfAServiceWithSeveralVersionsAreLeft() throws Exception {
        publisher.recordsRead(Map.of(), 0);
        publisher.updateVersions(Set.of(V1, V2, OTHER));
        publisher.add(stream("a", V1), 0);
        publisher.add(stream("b", V2), 0);
        publisher.add(stream("c", OTHER), 0);
        assertEquals(Optional.of(V1), found("a", 0));
        assertEquals(Optional.of(V2), found("b", 0));
        assertEquals(Optional.empty(), found("c", 0));
    }

    /** Failure: streams that had begun before the second version came were not left. */
    @Test
    void streamsThatBeganBeforeTheSecondVersionCameAreLeftOnceItComes() throws Exception {
        publisher.recordsRead(Map.of(), 0);
        publisher.updateVersions(Set.of(V1));
        publisher.add(stream("a", V1), 0);
        assertEquals(Optional.empty(), found("a", 0));
        int before = changes.get();
        publisher.updateVersions(Set.of(V1, V2));
        assertEquals(before + 1, changes.get());
        assertEquals(Optional.of(V1), found("a", 0));
    }

    @Test
    void completeStreamsAreLeftForAMomentOnly() throws Exception {
        long startNanos = System.nanoTime();
        publisher.recordsRead(Map.of(), startNanos);
        publisher.updateVersions(Set.of(V1, V2));
        DeliveredStream complete = stream("a", V1);
        DeliveredStream broken = stream("b", V1);
        publisher.add(complete, startNanos);
        publisher.add(broken, startNanos);
        complete.complete();
        complete.close();
        broken.close();
        long laterNanos = System.nanoTime() + ms(OriginPublisher.COMPLETE_KEPT_MS);
        assertEquals(Optional.of(V1), found("a", laterNanos - ms(500)));
        assertEquals(Optional.empty(), found("a", laterNanos));
        assertEquals(Optional.of(V1), found("b", laterNanos));
        assertEquals(Optional.empty(), found("b", startNanos + ms(VALID_MS)));
    }

    /** Failure: the process that followed overwrote what the one before had left. */
    @Test
    void streamsOfTheProcessBeforeAreCarriedOn() throws Exception {
        publisher.updateVersions(Set.of(V1, V2));
        assertEquals(Optional.empty(), publisher.record(0));
        VersionStreams before = new VersionStreams(V1, List.of(VersionStreams.key("a")));
        publisher.recordsRead(Map.of("n", List.of(before)), 0);
        assertEquals(Optional.of(V1), found("a", 0));
        assertEquals(Optional.empty(), found("a", ms(StoredOrigins.KNOWN_MS)));
    }

    /** Failure: a record that the store had lost, since it came back from an older copy, was not written again. */
    @Test
    void lostRecordIsWrittenAgain() {
        publisher.recordsRead(Map.of(), 0);
        publisher.updateVersions(Set.of(V1));
        int before = changes.get();
        publisher.recordsRead(Map.of("n", List.of(new VersionStreams(V1, List.of()))), 0);
        assertEquals(before, changes.get());
        publisher.recordsRead(Map.of("other", List.of()), 0);
        assertEquals(before + 1, changes.get());
    }

    /** Failure: the record of a busy node grew without a limit. */
    @Test
    void oldestStreamsAreDropped() throws Exception {
        publisher.recordsRead(Map.of(), 0);
        publisher.updateVersions(Set.of(V1, V2));
        IntStream.rangeClosed(0, OriginPublisher.MAX_STREAMS).forEach(i -> publisher.add(stream("r" + i, V1), i));
        assertEquals(Optional.empty(), found("r0", OriginPublisher.MAX_STREAMS));
        assertEquals(Optional.of(V1), found("r1", OriginPublisher.MAX_STREAMS));
        assertTrue(publisher.record(0).orElseThrow().length < 9 * OriginPublisher.MAX_STREAMS);
    }

    /** Failure: of a request whose identifier was used twice, one of two origins was taken. */
    @Test
    void streamWithDifferentOriginsIsUnknown() {
        stored.add(List.of(new VersionStreams(V1, List.of(VersionStreams.key("a")))), 0);
        assertEquals(Optional.of(V1), stored.find("a", 0));
        stored.add(List.of(new VersionStreams(V2, List.of(VersionStreams.key("a")))), 0);
        assertEquals(Optional.empty(), stored.find("a", 0));
        stored.add(List.of(new VersionStreams(V2, List.of(VersionStreams.key("a")))), 0);
        assertEquals(Optional.empty(), stored.find("a", 0));
    }

    @Test
    void storedOriginsAreBounded() {
        IntStream.rangeClosed(0, StoredOrigins.MAX_ORIGINS)
                .forEach(i -> stored.add(List.of(new VersionStreams(V1, List.of(VersionStreams.key("r" + i)))), i));
        assertEquals(Optional.empty(), stored.find("r0", StoredOrigins.MAX_ORIGINS));
        assertEquals(Optional.of(V1), stored.find("r1", StoredOrigins.MAX_ORIGINS));
    }

    /** Failure: a new process took the one version that it saw for the only one that streams can have. */
    @Test
    void versionsOfEarlierProcessesCount() throws Exception {
        RecentVersions versions = RecentVersions.create();
        StreamRecordFollower follower = StreamRecordFollower.of(stored, versions, publisher, () -> 0);
        byte[] left = StreamRecordCodec.encode(
                List.of(new VersionStreams(V1, List.of(VersionStreams.key("a"))), new VersionStreams(V2, List.of())));
        KvEntry entry = new KvEntry("persimmon-streams/gone", left, 7);
        follower.onSnapshot(new KvRange(List.of(entry), 7));
        assertEquals(Set.of(V1, V2), versions.known(0));
        assertEquals(Optional.empty(), versions.onlyVersion("s", 0));
        assertEquals(Optional.of(V1), stored.find("a", 0));
        assertEquals(Set.of(), versions.known(ms(RecentVersions.REMEMBERED_MS) + 1));
    }

    /** Failure: a node that is cut off from the store, or has just read it again, was sure of what it knows. */
    @Test
    void versionIsCertainOnlyWhileTheNodeKnowsAllRunners() {
        RecentVersions versions = RecentVersions.create();
        StreamRecordFollower follower = StreamRecordFollower.of(stored, versions, publisher, () -> 0);
        long settledNanos = ms(RecentVersions.SETTLING_MS) + 1;
        versions.startWith(List.of(V1), 0);
        assertEquals(Optional.empty(), versions.certainVersion("s", settledNanos));
        follower.onCompleteUpTo(0);
        assertEquals(Optional.of("v1"), versions.certainVersion("s", settledNanos));
        follower.onUnavailable();
        assertEquals(Optional.empty(), versions.certainVersion("s", settledNanos - 1));
        assertEquals(Optional.of("v1"), versions.certainVersion("s", settledNanos));
        assertEquals(Optional.empty(), versions.certainVersion("s", ms(RecentVersions.MAX_AGE_MS)));
    }

    /** Failure: a stream of a version that no entry had told went on at the only version of the entries. */
    @Test
    void noVersionIsTheOnlyOneWhileAnotherWasNotTold() {
        RecentVersions versions = RecentVersions.create();
        versions.startWith(List.of(new StreamOrigin("s", "v1"), new StreamOrigin("t", "v1")), 0);
        versions.recordCompleteUpTo(0);
        versions.recordUntold("s", 1);
        assertEquals(Optional.empty(), versions.certainVersion("s", 1));
        assertEquals(Optional.of("v1"), versions.certainVersion("t", 1));
        assertEquals(
                2,
                versions.known(1).stream()
                        .filter(origin -> origin.service().equals("s"))
                        .count());
    }
}
