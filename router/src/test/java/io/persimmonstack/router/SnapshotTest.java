package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How a router follows the snapshots of coordinators. */
class SnapshotTest {
    @Test
    void routerFollowsAnotherCoordinatorWhenItsOwnStopsAnswering() throws Exception {
        try (RouterFixture fixture = RouterFixture.withoutRouters();
                FakeCoordinator own = FakeCoordinator.start("own")) {
            own.publish(FakeFleet.of());
            FakeTarget before = fixture.target("before", FakeTarget.completion("before"));
            FakeTarget after = fixture.target("after", FakeTarget.completion("after"));
            own.publish(FakeFleet.of().runner(before, "z1", 4, "deed@v1"));
            Router router = fixture.startRouter(
                    "e1",
                    "",
                    List.of(own.address(), "127.0.0.1:1", fixture.coordinator().address()));
            RouterFixture.await(() -> router.snapshots() > 0);
            assertTrue(
                    fixture.send(fixture.chatRequest(0, "deed", false)).body().contains("before"));
            own.stopAnswering();
            fixture.coordinator().publish(FakeFleet.of().runner(after, "z1", 4, "deed@v1"));
            RouterFixture.await(() -> answer(fixture).contains("after"));
        }
    }

    @Test
    void requestsBeforeTheFirstSnapshotAreRefusedAsNotRun() throws Exception {
        try (RouterFixture fixture = RouterFixture.withoutRouters()) {
            fixture.startRouter("e1", "", List.of("127.0.0.1:1"));
            var answer = fixture.send(fixture.chatRequest(0, "deed", false));
            assertEquals(503, answer.statusCode());
            assertTrue(answer.body().contains("\"code\":\"starting\""));
            assertTrue(answer.body().contains("\"ran\":\"no\""));
        }
    }

    private static String answer(RouterFixture fixture) {
        try {
            return fixture.send(fixture.chatRequest(0, "deed", false)).body();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
