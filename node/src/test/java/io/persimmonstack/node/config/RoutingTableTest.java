package io.persimmonstack.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
    private static Route route(String name, String prefix) {
        return new Route(name, "host", prefix, RouteKind.SAFE, false, 1, 1, 0, 0, 1, List.of(new ServiceShare("s", 1)));
    }

    @Test
    void longestPrefixWins() {
        RoutingTable table = RoutingTable.of(1, List.of(route("short", "/a/"), route("long", "/a/b/")), List.of());
        assertEquals("long", table.route("host", "/a/b/c").orElseThrow().name());
        assertEquals("short", table.route("host", "/a/c").orElseThrow().name());
    }

    @Test
    void unknownHostOrPathMatchesNoRoute() {
        RoutingTable table = RoutingTable.of(1, List.of(route("r", "/a/")), List.of());
        assertTrue(table.route("other", "/a/b").isEmpty());
        assertTrue(table.route("host", "/ab").isEmpty());
    }

    @Test
    void sharesSplitRequestsByWeight() {
        Route split = new Route(
                "r",
                "host",
                "/a/",
                RouteKind.SAFE,
                false,
                1,
                1,
                0,
                0,
                1,
                List.of(new ServiceShare("s", 90), new ServiceShare("t", 10)));
        assertEquals("s", split.pickService(0.89));
        assertEquals("t", split.pickService(0.91));
    }
}
