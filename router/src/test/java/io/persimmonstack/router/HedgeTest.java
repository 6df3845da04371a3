package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Hedged requests: second attempts while the first one is late. */
@Timeout(60)
class HedgeTest {
    private static final int REQUESTS = 60;
    /** Capacity of the retry budget, which is full at the start. */
    private static final int BUDGET_BURST = 20;

    private static final int REQUESTS_PER_EARNED_RETRY = 10;
    private static final int LATE_ANSWER_MS = 300;
    private static final int MORE_THAN_HALF_OF_THE_DEADLINE_MS = 1_800;
    private RouterFixture fixture;
    private FakeTarget near;
    private FakeTarget far;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1, ",\"targets\":{\"hedgeAfterMs\":50}");
        near = fixture.target("r1", FakeTarget.neverAnswer());
        far = fixture.target("r2", FakeTarget.completion("far"));
        fixture.publish(fixture.fleet().runner(near, "z1", 100, "deed@v1").runner(far, "z2", 100, "deed@v1"));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private long hedgeCount() {
        return fixture.metrics(0).counter("dispatch.hedges").getCount();
    }

    private void answerLate() {
        near.setBehaviour((exchange, received) -> {
            Thread.sleep(LATE_ANSWER_MS);
            FakeTarget.completion("near").answer(exchange, received);
        });
    }

    @Test
    void lateRequestIsHedgedInAnotherZoneAndTheSlowerAttemptIsCancelled() throws Exception {
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false));
        assertEquals(200, answer.statusCode());
        assertTrue(answer.body().contains("far"), answer.body());
        assertEquals(1, hedgeCount());
        RouterFixture.await(() ->
                fixture.metrics(0).counter("http.connections.closed.cancelled").getCount() == 1);
    }

    @Test
    void failedHedgeDoesNotAffectTheFirstAttempt() throws Exception {
        answerLate();
        far.setBehaviour(FakeTarget.answer(500, "text/plain", "broken"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false));
        assertTrue(answer.body().contains("near"), answer.body());
        assertEquals(1, near.receivedRequests().size());
        assertEquals(1, far.receivedRequests().size());
    }

    /** The head timeout used to end the only attempt, although no hedge could be sent. */
    @Test
    void lateAnswerOfTheOnlyTargetIsAwaited() throws Exception {
        near.setBehaviour((exchange, received) -> {
            Thread.sleep(MORE_THAN_HALF_OF_THE_DEADLINE_MS);
            FakeTarget.completion("near").answer(exchange, received);
        });
        fixture.publish(fixture.fleet().runner(near, "z1", 100, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "3000"));
        assertTrue(answer.body().contains("near"), answer.body());
        assertEquals(1, near.receivedRequests().size());
    }

    /** A hedge that lacked a target used to be given up at once. */
    @Test
    void hedgeIsSentAsSoonAsThereIsATarget() throws Exception {
        fixture.publish(fixture.fleet().runner(near, "z1", 100, "deed@v1"));
        CompletableFuture<HttpResponse<String>> answer =
                fixture.sendAsync(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "20000"));
        RouterFixture.await(() -> near.receivedRequests().size() == 1);
        Thread.sleep(LATE_ANSWER_MS);
        fixture.publish(fixture.fleet().runner(near, "z1", 100, "deed@v1").runner(far, "z2", 100, "deed@v1"));
        assertTrue(answer.get().body().contains("far"));
        assertEquals(1, hedgeCount());
    }

    @Test
    void atMostOnceRequestsAndStreamsAreNeverHedged() throws Exception {
        answerLate();
        HttpResponse<String> once = fixture.send(fixture.chatRequest(0, "deed", false, "Idempotency-Key", "k1"));
        assertEquals(200, once.statusCode());
        HttpResponse<String> stream = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(200, stream.statusCode());
        assertEquals(0, hedgeCount());
        assertTrue(far.receivedRequests().isEmpty());
    }

    @Test
    void retryBudgetLimitsHedges() throws Exception {
        answerLate();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            answers.add(fixture.sendAsync(fixture.chatRequest(0, "deed", false)));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.get().statusCode());
        }
        assertTrue(hedgeCount() <= BUDGET_BURST + REQUESTS / REQUESTS_PER_EARNED_RETRY, "hedges " + hedgeCount());
        assertEquals(hedgeCount(), far.receivedRequests().size());
    }
}
