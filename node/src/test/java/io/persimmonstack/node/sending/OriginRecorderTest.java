package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.streams.OriginDirectory;
import io.persimmonstack.node.streams.StreamOrigin;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which software version a stream has, by the entries that are read while it is delivered. */
class OriginRecorderTest {
    private static final int LIMIT_MS = 30_000;
    private final FleetView fleet = FleetView.create();
    private final List<StreamOrigin> kept = new ArrayList<>();
    private final List<String> untold = new ArrayList<>();
    private final ActiveRequest request = Requests.resumableStream(System.nanoTime(), LIMIT_MS);

    private final OriginDirectory directory = new OriginDirectory() {
        @Override
        public KeptOrigin keep(String firstRequest, StreamOrigin origin, long validMs) {
            kept.add(origin);
            return () -> {};
        }

        @Override
        public void recordUntold(String service) {
            untold.add(service);
        }

        @Override
        public Optional<StreamOrigin> find(String firstRequest) {
            return Optional.empty();
        }
    };

    private static Runner entry(long startedMs, String version) {
        PeerAddress address = PeerAddress.parse("127.0.0.1:1");
        return new Runner("e1", startedMs, version, "s", address, "z-a", 4, false, List.of(), Set.of(), Set.of());
    }

    private void list(Runner runner) {
        fleet.update(now -> now.withRunners(Map.of(runner.id(), runner), 1));
    }

    @Test
    void versionIsThatOfTheEntryOfTheProcessAndOfNoOtherOne() {
        list(entry(1, "v1"));
        try (OriginRecorder origin = OriginRecorder.of(directory, fleet, request)) {
            origin.beforeEvent(Optional.of(entry(2, "v2").process()));
            assertTrue(origin.hasBegun());
            assertEquals(Optional.empty(), origin.softwareVersion());
            list(entry(3, "v1"));
            assertEquals(Optional.empty(), origin.softwareVersion());
            list(entry(2, "v2"));
            assertEquals(Optional.of("v2"), origin.softwareVersion());
        }
    }

    /** Failure: a stream that ended before the entry of its process was read could not be resumed. */
    @Test
    void originIsKeptWhenTheEntryIsReadAfterTheLastEvent() {
        list(entry(1, "v1"));
        try (OriginRecorder origin = OriginRecorder.of(directory, fleet, request)) {
            origin.beforeEvent(Optional.of(entry(2, "v2").process()));
            list(entry(2, "v2"));
        }
        assertEquals(List.of(new StreamOrigin("s", "v2")), kept);
    }

    /** Failure: the version of the entries was taken for the only one, and the stream went on at it. */
    @Test
    void versionThatNoEntryTellsIsRecordedAtTheEnd() {
        list(entry(1, "v1"));
        try (OriginRecorder origin = OriginRecorder.of(directory, fleet, request)) {
            origin.beforeEvent(Optional.of(entry(2, "v2").process()));
            assertEquals(List.of(), untold);
            list(entry(3, "v1"));
        }
        assertEquals(List.of("s"), untold);
        assertEquals(List.of(), kept);
    }

    @Test
    void streamOfAnUnknownProcessHasNoVersion() {
        list(entry(1, "v1"));
        try (OriginRecorder origin = OriginRecorder.of(directory, fleet, request)) {
            origin.beforeEvent(Optional.empty());
            assertEquals(Optional.empty(), origin.softwareVersion());
        }
        assertEquals(List.of(), kept);
    }
}
