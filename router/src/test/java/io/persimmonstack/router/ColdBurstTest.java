package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Bursts of requests for a model that is not loaded. */
class ColdBurstTest {
    private static final int ROUTERS = 6;
    private static final int REQUESTS = 1_000;
    private static final int DEADLINE_COUNT = 12;
    private static final int FIRST_DEADLINE_MS = 8_000;
    private static final int DEADLINE_STEP_MS = 900;

    private static int queueLength(RouterFixture fixture, int router) {
        return (int) fixture.metrics(router).getGauges().get("queue.length").getValue();
    }

    private static int queueLength(RouterFixture fixture) {
        return IntStream.range(0, ROUTERS)
                .map(router -> queueLength(fixture, router))
                .sum();
    }

    @Test
    void thousandRequestsAtSixRoutersSendFewLoadRequestsAndAreServed() throws Exception {
        try (RouterFixture fixture = RouterFixture.start(ROUTERS)) {
            fixture.publish(fixture.fleet());
            FakeTarget runner = fixture.target("r1", FakeTarget.completion("because"));
            fixture.coordinator().answerLoadsWith(request -> new LoadAnswer(LoadResult.LOADING).setRunner("r1"));
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                answers.add(fixture.sendAsync(fixture.chatRequest(i % ROUTERS, "deed", false)));
            }
            RouterFixture.await(() -> queueLength(fixture) == REQUESTS);
            int firstReplicaLoadRequests = (int) fixture.coordinator().loadRequests().stream()
                    .filter(load -> load.getReplicasWanted() == 1)
                    .count();
            fixture.coordinator().publish(fixture.fleet().runner(runner, "z1", 64, "deed@v1"));
            int served = 0;
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                served += answer.get().statusCode() == 200 ? 1 : 0;
            }
            assertEquals(REQUESTS, served);
            assertTrue(
                    firstReplicaLoadRequests < REQUESTS / 10,
                    firstReplicaLoadRequests + " load requests for " + REQUESTS + " requests");
        }
    }

    @Test
    void waitingRequestsAreReleasedInDeadlineOrder() throws Exception {
        try (RouterFixture fixture = RouterFixture.start(1)) {
            fixture.publish(fixture.fleet());
            Semaphore answerPermits = new Semaphore(0);
            FakeTarget runner = fixture.target("r1", (exchange, received) -> {
                answerPermits.acquire();
                FakeTarget.completion("because").answer(exchange, received);
            });
            fixture.coordinator().answerLoadsWith(request -> new LoadAnswer(LoadResult.LOADING).setRunner("r1"));
            List<Integer> deadlines = new ArrayList<>();
            IntStream.range(0, DEADLINE_COUNT).forEach(i -> deadlines.add(FIRST_DEADLINE_MS + i * DEADLINE_STEP_MS));
            List<String> idsByDeadline =
                    deadlines.stream().map(deadline -> "d" + deadline).toList();
            Collections.shuffle(deadlines, new Random(7));
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int deadline : deadlines) {
                answers.add(fixture.sendAsync(fixture.chatRequest(
                        0, "deed", false, "X-Deadline-Ms", "" + deadline, "X-Request-Id", "d" + deadline)));
            }
            RouterFixture.await(() -> queueLength(fixture, 0) == DEADLINE_COUNT);
            RouterFixture.await(() -> !fixture.coordinator().loadRequests().isEmpty());
            assertEquals(
                    1,
                    fixture.coordinator().loadRequests().stream()
                            .map(LoadRequest::getModel)
                            .distinct()
                            .count());
            fixture.coordinator().publish(fixture.fleet().runner(runner, "z1", 1, "deed@v1"));
            answerPermits.release(DEADLINE_COUNT);
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertEquals(200, answer.get().statusCode());
            }
            List<String> served = runner.receivedRequests().stream()
                    .map(received -> received.requestId()
                            .substring(0, received.requestId().indexOf('.')))
                    .toList();
            assertEquals(idsByDeadline, served);
        }
    }
}
