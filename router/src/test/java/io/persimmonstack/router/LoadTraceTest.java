package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Trace of the load requests that the router sends for waiting requests. */
@Timeout(60)
class LoadTraceTest {
    private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
    private static final String TRACE_PARENT = "00-" + TRACE_ID + "-00f067aa0ba902b7-01";
    private static final String DEADLINE_MS = "20000";

    /** A load that was requested while its request was already waiting used to be missing from the request's trace. */
    @Test
    void loadForAWaitingRequestBelongsToItsTrace() throws Exception {
        try (RouterFixture fixture = RouterFixture.start(1)) {
            Semaphore answerPermits = new Semaphore(0);
            FakeTarget runner = fixture.target("r1", (exchange, received) -> {
                answerPermits.acquire();
                FakeTarget.completion("because").answer(exchange, received);
            });
            fixture.coordinator().answerLoadsWith(load -> new LoadAnswer(LoadResult.LOADING).setRunner("r1"));
            fixture.publish(fixture.fleet().runner(runner, "z1", 1, "deed@v1"));
            CompletableFuture<HttpResponse<String>> served =
                    fixture.sendAsync(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", DEADLINE_MS));
            RouterFixture.await(() -> runner.receivedRequests().size() == 1);
            CompletableFuture<HttpResponse<String>> waiting = fixture.sendAsync(
                    fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", DEADLINE_MS, "traceparent", TRACE_PARENT));
            RouterFixture.await(() -> fixture.metrics(0)
                    .getGauges()
                    .get("queue.length")
                    .getValue()
                    .equals(1));
            assertEquals(0, fixture.coordinator().loadRequests().size());

            fixture.coordinator().publish(fixture.fleet());
            RouterFixture.await(() -> !fixture.coordinator().loadRequests().isEmpty());
            String loadTrace = fixture.coordinator().loadTraces().get(0).getOrDefault("traceparent", "");
            assertTrue(loadTrace.contains(TRACE_ID), "trace of the load: '" + loadTrace + "'");

            fixture.coordinator().publish(fixture.fleet().runner(runner, "z1", 1, "deed@v1"));
            answerPermits.release(2);
            assertEquals(200, served.get().statusCode());
            assertEquals(200, waiting.get().statusCode());
        }
    }
}
