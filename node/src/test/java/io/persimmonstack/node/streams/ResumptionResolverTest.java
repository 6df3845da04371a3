package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.request.TokenCount;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against resuming a stream at a service or software version that did not begin it. */
class ResumptionResolverTest {
    private static final StreamOrigin BEGUN = new StreamOrigin("s1", "v1");
    private static final Optional<String> UNNAMED = Optional.empty();
    private final RecentVersions versions = RecentVersions.create();
    private Optional<Set<StreamOrigin>> stored = Optional.of(Set.of(BEGUN));
    private final ResumptionResolver resolver =
            ResumptionResolver.of(new KnownOrigins(Map.of("first", BEGUN)), versions, () -> stored);

    /** Directory that knows the given origins only. */
    private record KnownOrigins(Map<String, StreamOrigin> origins) implements OriginDirectory {
        @Override
        public KeptOrigin keep(String request, StreamOrigin origin, long validMs) {
            return () -> {};
        }

        @Override
        public Optional<StreamOrigin> find(String request) {
            return Optional.ofNullable(origins.get(request));
        }
    }

    private static Route route(RouteKind kind, ServiceShare... shares) {
        return new Route("r", "host", "/p/", kind, true, 4_000, 500, 100, 1, 2, List.of(shares));
    }

    private static Route streamRoute(String... services) {
        return route(
                RouteKind.STREAM,
                List.of(services).stream()
                        .map(service -> new ServiceShare(service, 1))
                        .toArray(ServiceShare[]::new));
    }

    private static CallerRequest request(OptionalLong lastEventId, Optional<String> resumedRequest) {
        return new CallerRequest(
                "second",
                "POST",
                "host",
                "/p/x",
                "/p/x",
                List.of(),
                new byte[0],
                OptionalInt.of(4_000),
                Optional.empty(),
                TokenCount.none(),
                List.of(),
                lastEventId,
                resumedRequest);
    }

    private static CallerRequest resuming(Optional<String> resumedRequest) {
        return request(OptionalLong.of(3), resumedRequest);
    }

    private Refusal refusal(CallerRequest request, Route route) {
        return assertThrows(RefusedException.class, () -> resolver.resolve(request, route))
                .refusal();
    }

    private static Runner runner(String service, String version) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(
                service + version, 1, version, service, address, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    private static long afterMs(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void newStreamsAndOtherKindsOfRequestsHaveNoOrigin() throws Exception {
        CallerRequest anew = request(OptionalLong.empty(), Optional.empty());
        assertEquals(Optional.empty(), resolver.resolve(anew, streamRoute("s1")));
        Route safe = route(RouteKind.SAFE, new ServiceShare("s1", 1));
        assertEquals(Optional.empty(), resolver.resolve(resuming(Optional.of("first")), safe));
    }

    @Test
    void namedRequestDecidesServiceAndVersionOnASplitRoute() throws Exception {
        assertEquals(
                Optional.of(BEGUN), resolver.resolve(resuming(Optional.of("first")), streamRoute("s0", "s1", "s2")));
    }

    /** Failure: a request that names the beginning of its stream but no event was taken for a new one. */
    @Test
    void namedRequestCountsWithoutAnEventToo() throws Exception {
        CallerRequest named = request(OptionalLong.empty(), Optional.of("first"));
        assertEquals(Optional.of(BEGUN), resolver.resolve(named, streamRoute("s1")));
    }

    /** Failure: a stream was resumed at another service after its route had been moved. */
    @Test
    void streamOfAServiceThatTheRouteLeftIsRefused() {
        Refusal refusal = refusal(resuming(Optional.of("first")), streamRoute("s2"));
        assertEquals("stream-moved", refusal.reason());
        assertEquals(503, refusal.status());
        Route withoutWeight = route(RouteKind.STREAM, new ServiceShare("s1", 0), new ServiceShare("s2", 1));
        assertEquals(
                "stream-moved",
                refusal(resuming(Optional.of("first")), withoutWeight).reason());
    }

    @Test
    void unknownNamesAreRefusedEvenIfThereIsASingleVersion() {
        versions.observe(List.of(runner("s1", "v1")), System.nanoTime());
        for (String name : List.of("unknown", "second", "\u0000 no identifier")) {
            Refusal refusal = refusal(resuming(Optional.of(name)), streamRoute("s1"));
            assertEquals("stream-unknown", refusal.reason());
            assertEquals(503, refusal.status());
        }
    }

    @Test
    void unnamedRequestResumesAtTheOnlyVersionOfTheOnlyService() throws Exception {
        versions.observe(List.of(runner("s1", "v1"), runner("s2", "v9")), System.nanoTime());
        assertEquals(Optional.of(BEGUN), resolver.resolve(resuming(UNNAMED), streamRoute("s1")));
        assertEquals(
                "stream-unknown",
                refusal(resuming(UNNAMED), streamRoute("s1", "s2")).reason());
        assertEquals(
                "stream-unknown", refusal(resuming(UNNAMED), streamRoute("s3")).reason());
    }

    /** Failure: a version whose runners had all gone was forgotten, though its streams could still be resumed. */
    @Test
    void unnamedRequestIsRefusedWhileAnotherVersionServedLately() {
        long now = System.nanoTime();
        versions.observe(List.of(runner("s1", "v1")), now);
        versions.observe(List.of(runner("s1", "v2")), now);
        assertEquals(
                "stream-unknown", refusal(resuming(UNNAMED), streamRoute("s1")).reason());
        assertEquals(Optional.empty(), versions.onlyVersion("s1", afterMs(RecentVersions.REMEMBERED_MS - 1_000)));
        assertEquals(Optional.of("v2"), versions.onlyVersion("s1", afterMs(RecentVersions.REMEMBERED_MS + 1_000)));
    }

    /** The time for which a version is remembered starts when its last runner goes, not when it came. */
    @Test
    void versionIsRememberedFromTheTimeAtWhichItWent() {
        long cameNanos = System.nanoTime();
        long wentNanos = afterMs(10 * RecentVersions.REMEMBERED_MS);
        versions.observe(List.of(runner("s1", "v1"), runner("s1", "v2")), cameNanos);
        versions.observe(List.of(runner("s1", "v2")), wentNanos);
        assertEquals(Optional.empty(), versions.onlyVersion("s1", wentNanos + 1));
    }

    /** Has this node know one version for certain, as long as its picture of the runners is taken for complete. */
    private void knowOneVersion() {
        long now = System.nanoTime();
        versions.startWith(List.of(BEGUN), now);
        versions.observe(List.of(runner("s1", "v1")), now);
        versions.recordCompleteUpTo(now);
    }

    @Test
    void streamThatNoNodeKnowsGoesOnAtTheOnlyVersionOfTheStore() throws Exception {
        knowOneVersion();
        stored = Optional.of(Set.of(BEGUN, new StreamOrigin("s2", "v9")));
        assertEquals(Optional.of(BEGUN), resolver.resolve(resuming(Optional.of("unknown")), streamRoute("s1")));
    }

    /**
     * Failure: a node that had been cut off or had stood still did not know of a version that had joined meanwhile, and
     * let streams of that version go on at the other one.
     */
    @Test
    void streamIsRefusedIfTheStoreKnowsAVersionThatThisNodeMissed() {
        knowOneVersion();
        stored = Optional.of(Set.of(BEGUN, new StreamOrigin("s1", "v2")));
        Refusal refusal = refusal(resuming(Optional.of("unknown")), streamRoute("s1"));
        assertEquals("stream-unknown", refusal.reason());
        assertEquals(503, refusal.status());
    }

    @Test
    void streamIsRefusedIfTheStoreDoesNotAnswer() {
        knowOneVersion();
        stored = Optional.empty();
        assertEquals(
                "stream-unknown",
                refusal(resuming(Optional.of("unknown")), streamRoute("s1")).reason());
    }
}
