package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.RouteKind;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.request.TokenCount;
import io.persimmonstack.node.sending.Requests;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A request that exceeds the whole cache of a runner would end the runner: it is refused without waiting. */
class TooLargeRequestTest {
    private static final Service SERVICE =
            new Service("s", "/health", 10, Optional.of(new Engine(4, 1_000, 100, 0, 3, Map.of())));
    private final Placer placer = Placer.create(FleetView.create(), "z");

    private static ActiveRequest request(int promptTokens) {
        ActiveRequest plain = Requests.received(RouteKind.STREAM, System.nanoTime(), 1_000);
        CallerRequest caller = plain.callerRequest();
        CallerRequest sized = new CallerRequest(
                caller.id(),
                caller.method(),
                caller.host(),
                caller.path(),
                caller.target(),
                caller.headers(),
                caller.body(),
                caller.timeLimitMs(),
                caller.model(),
                new TokenCount(promptTokens, 100, 100),
                caller.prompt(),
                caller.lastEventId(),
                caller.resumedRequest());
        return new ActiveRequest(sized, plain.route(), SERVICE, Optional.empty(), plain.receivedNanos());
    }

    @Test
    void requestLargerThanTheCacheIsRefusedAtOnce() {
        long farNanos = System.nanoTime() + 60_000_000_000L;
        RefusedException refused =
                assertThrows(RefusedException.class, () -> placer.place(request(901), RunnerFilter.any(), farNanos));
        assertEquals("too-large", refused.refusal().reason());
        assertTrue(placer.placeNow(request(901), RunnerFilter.any()).isEmpty());
    }

    @Test
    void requestOfTheSizeOfTheCacheMayWait() {
        RefusedException refused = assertThrows(
                RefusedException.class, () -> placer.place(request(900), RunnerFilter.any(), System.nanoTime()));
        assertEquals("no-place", refused.refusal().reason());
    }
}
