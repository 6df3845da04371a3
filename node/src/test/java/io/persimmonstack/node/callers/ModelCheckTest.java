package io.persimmonstack.node.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.AdapterNames;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.config.Route;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.config.ServiceShare;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.TokenCount;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against names of models that no configuration has, and against refusals of those that one may have. */
class ModelCheckTest {
    private static final int APPLY_MS = 2_000;
    private static final Service PLAIN = new Service("plain", "/health", 10, Optional.empty());
    private static final Service FIRST = service("first", "m1");
    private static final Service SECOND = service("second", "m2");
    private static final Route ROUTE = new Route(
            "chat",
            "h",
            "/chat/",
            RouteKind.STREAM,
            true,
            0,
            0,
            0,
            0,
            1,
            List.of(new ServiceShare("first", 1), new ServiceShare("second", 1)));
    private static final RoutingTable ROUTING = RoutingTable.of(4, List.of(ROUTE), List.of(PLAIN, FIRST, SECOND));

    private static Service service(String name, String model) {
        Model configured = new Model(model, 10, 1, 1, 1, 1, new AdapterNames("a", 12));
        return new Service(
                name, "/health", 10, Optional.of(new Engine(4, 1_000, 100, 4, 1, Map.of(model, configured))));
    }

    private static CallerRequest request(String model, String adapter) {
        return new CallerRequest(
                "r",
                "POST",
                "h",
                "/chat/x",
                "/chat/x",
                List.of(),
                new byte[0],
                OptionalInt.empty(),
                Optional.of(new ModelRef(model, adapter)),
                TokenCount.none(),
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
    }

    private static Optional<Refusal> refusal(String model, String adapter, long unconfirmedMs) {
        return ModelCheck.refusal(FIRST, request(model, adapter), ROUTING, unconfirmedMs, APPLY_MS);
    }

    @Test
    void configuredModelsAndAdaptersAreTaken() {
        assertTrue(refusal("m1", "", 0).isEmpty());
        assertTrue(refusal("m1", "a1", 0).isEmpty());
        assertTrue(refusal("m1", "a12", 0).isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"a0", "a13", "a01", "a", "b1", "a1x", "a-1", "a1234567890"})
    void adaptersThatAreNotConfiguredAreRefused(String adapter) {
        assertEquals(404, refusal("m1", adapter, 0).orElseThrow().status());
    }

    @Test
    void refusalIsNotForGoodWhileANewerConfigurationMayHaveTheModel() {
        assertEquals(404, refusal("m3", "", APPLY_MS).orElseThrow().status());
        Refusal unconfirmed = refusal("m3", "", APPLY_MS + 1).orElseThrow();
        assertEquals(503, unconfirmed.status());
        assertTrue(unconfirmed.retryAfterMs().isPresent());
    }

    @Test
    void serviceWithoutModelsTakesAnyRequestAndLearnsNoName() {
        assertTrue(ModelCheck.takes(PLAIN, request("any", "")));
        assertTrue(ModelCheck.requestFor(PLAIN, request("any", "")).model().isEmpty());
        assertEquals(
                Optional.of(new ModelRef("m1", "")),
                ModelCheck.requestFor(FIRST, request("m1", "")).model());
    }

    @Test
    void anotherServiceOfTheRouteTakesWhatTheFirstLacks() {
        assertFalse(ModelCheck.takes(FIRST, request("m2", "")));
        assertEquals(Optional.of(SECOND), ModelCheck.otherService(ROUTE, ROUTING, request("m2", "")));
        assertTrue(ModelCheck.otherService(ROUTE, ROUTING, request("m3", "")).isEmpty());
    }
}
