package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.wire.gen.RouterState;
import io.undertow.util.Headers;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Graceful stop of a router. */
class StopTest {
    @Test
    void leavingRouterIsDelistedKeepsServingAndFinishesStreams() throws Exception {
        try (RouterFixture fixture = RouterFixture.start(1, ",\"callers\":{\"keepForMs\":300,\"leaveMarginMs\":0}")) {
            CountDownLatch resumeStreams = new CountDownLatch(1);
            FakeTarget runner = fixture.target("r1", (exchange, received) -> {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
                FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}\n\n");
                resumeStreams.await();
                FakeTarget.send(
                        exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t2 \"}}]}\n\ndata: [DONE]\n\n");
                exchange.endExchange();
            });
            fixture.publish(fixture.fleet().runner(runner, "z1", 9, "deed@v1"));
            CompletableFuture<HttpResponse<String>> stream = fixture.sendAsync(fixture.chatRequest(0, "deed", true));
            RouterFixture.await(() -> runner.receivedRequests().size() == 1);
            Thread stopThread = Thread.ofVirtual().start(() -> stop(fixture.router(0)));
            RouterFixture.await(() -> fixture.coordinator().stateOf("e1") == RouterState.LEAVING);
            assertFalse(fixture.context(0).readiness().isReady());
            assertEquals(
                    "{\"addresses\":[],\"keepForMs\":300}",
                    fixture.get("/v1/addresses").body());
            CompletableFuture<HttpResponse<String>> lateStream =
                    fixture.sendAsync(fixture.chatRequest(0, "deed", true));
            RouterFixture.await(() -> runner.receivedRequests().size() == 2);
            assertTrue(stopThread.isAlive());
            resumeStreams.countDown();
            stopThread.join();
            assertEquals(List.of("t1", "t2"), StreamTokens.parse(stream.get().body()));
            assertEquals(
                    List.of("t1", "t2"), StreamTokens.parse(lateStream.get().body()));
            assertEquals(RouterState.STOPPED, fixture.coordinator().stateOf("e1"));
        }
    }

    private static void stop(Router router) {
        try {
            router.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
