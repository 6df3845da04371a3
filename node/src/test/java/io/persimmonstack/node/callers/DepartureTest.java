package io.persimmonstack.node.callers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DepartureTest {
    private static Route route(RouteKind kind) {
        return new Route("r", "h", "/p/", kind, false, 1_000, 100, 0, 1, 1, List.of());
    }

    private static long at(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void nodeThatStaysTakesEverything() {
        assertTrue(Departure.within(8_000).takes(route(RouteKind.STREAM), at(1_000_000)));
    }

    @Test
    void streamsAreTakenOnlyAtTheBegin() {
        Departure departure = Departure.within(8_000);
        departure.begin(at(100));
        assertTrue(departure.takes(route(RouteKind.STREAM), at(3_000)));
        assertFalse(departure.takes(route(RouteKind.STREAM), at(3_200)));
    }

    @Test
    void wholeAnswersAreTakenWhileTheyCanBeComplete() {
        Departure departure = Departure.within(8_000);
        departure.begin(at(0));
        assertTrue(departure.takes(route(RouteKind.UNSAFE), at(5_600)));
        assertFalse(departure.takes(route(RouteKind.UNSAFE), at(5_800)));
    }
}
