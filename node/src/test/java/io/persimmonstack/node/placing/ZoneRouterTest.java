package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Where a single request goes, by what it costs to send it to another zone and what that saves. */
class ZoneRouterTest {
    private static final int SLOTS = 8;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long BYTES = 20_000;
    private final RunnerLoadTracker here = tracker("here", "a");
    private final RunnerLoadTracker there = tracker("there", "b");
    private final RunnerLoadTracker alsoThere = tracker("also-there", "b");
    private final List<RunnerLoadTracker> all = List.of(here, there, alsoThere);
    private final ZoneRouter router = ZoneRouter.of("a", Map.of("a", "r", "b", "r", "far", "s"), ZoneListener.none());

    private static RunnerLoadTracker tracker(String id, String zone) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new RunnerLoadTracker(
                new Runner(id, 1, "v1", "s", address, zone, SLOTS, false, List.of(), Set.of(), Set.of()));
    }

    private static void fill(RunnerLoadTracker tracker) {
        for (int i = 0; i < SLOTS; i++) {
            tracker.requestStarted(new ModelRef("", ""), 0);
        }
    }

    private static ZoneRouter.Request request(long bytes, double waitedMs, double savedTime, String preferred) {
        return new ZoneRouter.Request("s", 0.9, waitedMs, bytes, savedTime, Optional.ofNullable(preferred));
    }

    private ZoneCause cause(ZoneRouter.Request request, List<RunnerLoadTracker> trackers, long nowNanos) {
        return router.candidates(request, trackers, tracker -> true, nowNanos)
                .getFirst()
                .cause();
    }

    @Test
    void requestStaysWhileItsZoneHasRoom() {
        assertEquals(ZoneCause.HOME, cause(request(BYTES, 500, 0, null), all, 0));
    }

    /** The home runner must not be left for a short wait if it has the prompt, which others would have to read. */
    @Test
    void requestStaysAtTheRunnerThatCachesItsPrompt() {
        for (int i = 0; i < SLOTS - 1; i++) {
            here.requestStarted(new ModelRef("", ""), 0);
        }
        assertEquals(ZoneCause.LOAD, cause(request(BYTES, 200, 0, null), all, 0));
        assertEquals(ZoneCause.HOME, cause(request(BYTES, 200, 0.3, "here"), all, 0));
    }

    @Test
    void requestLeavesForAPromptThatIsWorthThePrice() {
        assertEquals(ZoneCause.PROMPT, cause(request(BYTES, 0, 0.3, "there"), all, 0));
        assertEquals(ZoneCause.HOME, cause(request(20 * BYTES, 0, 0.3, "there"), all, 0));
    }

    /** Bytes are charged: of two requests of a full zone, the large one stays. */
    @Test
    void largeRequestStaysLonger() {
        fill(here);
        assertEquals(ZoneCause.LOAD, cause(request(BYTES, 200, 0, null), all, 0));
        assertEquals(ZoneCause.HOME, cause(request(40 * BYTES, 200, 0, null), all, 0));
    }

    @Test
    void requestStaysWhereOnlyAnotherRegionHasRoom() {
        fill(here);
        assertEquals(ZoneCause.HOME, cause(request(BYTES, 200, 0, null), List.of(here, tracker("x", "far")), 0));
    }

    @Test
    void requestThatOnlyOthersCanServeGoesThere() {
        List<ZoneRouter.Candidates> candidates =
                router.candidates(request(BYTES, 0, 0, null), all, tracker -> tracker != here, 0);
        assertEquals(ZoneCause.ONLY, candidates.getFirst().cause());
    }

    /** A request that has just come must not leave at once with those of all other nodes. */
    @Test
    void requestOutsideTheShareWaitsFirst() {
        fill(here);
        assertEquals(ZoneCause.HOME, cause(request(BYTES, 0, 0, null), all, 0));
    }

    /** A link that fails for some connections must not be used; it is tried again later. */
    @Test
    void zoneWithFailuresIsLeftOutForAWhile() {
        fill(here);
        there.recordFailure(0);
        assertEquals(ZoneCause.LOAD, cause(request(BYTES, 200, 0, null), all, 0));
        there.recordFailure(0);
        assertEquals(ZoneCause.HOME, cause(request(BYTES, 200, 0, null), all, 1));
        assertEquals(ZoneCause.HOME, cause(request(BYTES, 200, 0, null), all, 2 * SECOND_NANOS));
        assertEquals(ZoneCause.LOAD, cause(request(BYTES, 200, 0, null), all, 4 * SECOND_NANOS));
    }

    @Test
    void shareGrowsWhileTheZoneIsOverloadedAndEndsAfterwards() {
        fill(here);
        for (int i = 0; i < 30; i++) {
            router.update("s", all, 8, i * SECOND_NANOS / 10);
        }
        assertTrue(router.share("s") > 0.5);
        for (int i = 0; i < SLOTS; i++) {
            here.requestEnded(new ModelRef("", ""), 0);
        }
        for (int i = 30; i < 200; i++) {
            router.update("s", all, 0, i * SECOND_NANOS / 10);
        }
        assertEquals(0, router.share("s"));
    }
}
