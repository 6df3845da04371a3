package io.persimmonstack.node.callers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DrainStateTest {
    private static Route route(RouteKind kind) {
        return new Route("r", "h", "/p/", kind, false, 1_000, 100, 0, 1, 1, List.of());
    }

    private static long atMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void acceptsEverythingWhileNotDraining() {
        assertTrue(DrainState.withGracePeriod(8_000).accepts(route(RouteKind.STREAM), atMs(1_000_000)));
    }

    @Test
    void acceptsStreamsOnlyForTheFirstSecondsOfTheDrain() {
        DrainState drainState = DrainState.withGracePeriod(8_000);
        drainState.start(atMs(100));
        assertTrue(drainState.accepts(route(RouteKind.STREAM), atMs(3_000)));
        assertFalse(drainState.accepts(route(RouteKind.STREAM), atMs(3_200)));
    }

    @Test
    void acceptsOtherRequestsUntilTheAnswerMargin() {
        DrainState drainState = DrainState.withGracePeriod(8_000);
        drainState.start(atMs(0));
        assertTrue(drainState.accepts(route(RouteKind.UNSAFE), atMs(5_600)));
        assertFalse(drainState.accepts(route(RouteKind.UNSAFE), atMs(5_800)));
    }

    /** A request that was read while the connections were being closed used to be sent and cut off. */
    @Test
    void acceptsNothingWhileConnectionsAreClosed() {
        DrainState drainState = DrainState.withGracePeriod(8_000);
        drainState.start(atMs(0));
        drainState.startClosing();
        assertFalse(drainState.accepts(route(RouteKind.UNSAFE), atMs(3_300)));
    }
}
