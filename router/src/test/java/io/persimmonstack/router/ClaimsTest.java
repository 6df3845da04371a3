package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.undertow.server.ServerConnection;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** At-most-once requests: claims of idempotency keys, replays of outcomes and faults of the key-value service. */
class ClaimsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private RouterFixture fixture;
    private FakeTarget bay;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(2);
        bay = fixture.target("b1", FakeTarget.answer(200, "application/json", "{\"bay\":7}"));
        fixture.publish(fixture.fleet().service("bay", bay));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void retryAtAnotherRouterReplaysTheFirstOutcome() throws Exception {
        HttpResponse<String> first =
                fixture.send(fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k1"));
        assertEquals("{\"bay\":7}", first.body());
        awaitRecordedOutcome("k1");
        for (int router = 0; router < 2; router++) {
            HttpResponse<String> repeat =
                    fixture.send(fixture.serviceRequest(router, "bay/reserve", "x", "Idempotency-Key", "k1"));
            assertEquals(200, repeat.statusCode());
            assertEquals("{\"bay\":7}", repeat.body());
            assertEquals(
                    "true", repeat.headers().firstValue("Idempotency-Replayed").orElseThrow());
        }
        assertEquals(1, bay.receivedRequests().size());
        assertEquals("k1", bay.receivedRequests().get(0).idempotencyKey());
    }

    /** Waits until a retry is no longer answered with 409, which means that the outcome is recorded. */
    private void awaitRecordedOutcome(String key) {
        RouterFixture.await(() -> {
            try {
                return fixture.send(fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", key))
                                .statusCode()
                        != 409;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void keyReusedForADifferentRequestIsRefused() throws Exception {
        fixture.send(fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k2"));
        HttpResponse<String> other =
                fixture.send(fixture.serviceRequest(1, "bay/reserve", "y", "Idempotency-Key", "k2"));
        assertEquals(422, other.statusCode());
        assertEquals("key-reused", problem(other).path("code").asText());
        assertEquals(1, bay.receivedRequests().size());
    }

    @Test
    void concurrentRequestsAtTwoRoutersRunEachKeyOnce() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            answers.add(fixture.sendAsync(
                    fixture.serviceRequest(i % 2, "bay/reserve", "x", "Idempotency-Key", "race-" + i / 4)));
        }
        int answered = 0;
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            int status = answer.get().statusCode();
            assertTrue(status == 200 || status == 409, "status " + status);
            answered += status == 200 ? 1 : 0;
        }
        assertTrue(answered >= 50, "answered " + answered);
        assertEquals(50, bay.receivedRequests().size());
        assertEquals(
                50,
                bay.receivedRequests().stream()
                        .map(FakeTarget.ReceivedRequest::idempotencyKey)
                        .distinct()
                        .count());
    }

    @Test
    void lostKvRepliesNeitherDuplicateNorBlockRequests() throws Exception {
        for (int i = 0; i < 20; i++) {
            fixture.kv().loseReplies(1);
            HttpResponse<String> answer =
                    fixture.send(fixture.serviceRequest(i % 2, "bay/reserve", "x", "Idempotency-Key", "lost-" + i));
            assertEquals(200, answer.statusCode());
        }
        assertEquals(20, bay.receivedRequests().size());
    }

    @Test
    void requestsAreRefusedWithoutRunningWhileTheKvServiceIsDown() throws Exception {
        fixture.kv().unavailable(true);
        HttpResponse<String> answer = fixture.send(
                fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k3", "X-Deadline-Ms", "600"));
        assertEquals(503, answer.statusCode());
        assertEquals("kv-unavailable", problem(answer).path("code").asText());
        assertEquals("unknown", problem(answer).path("ran").asText());
        assertTrue(problem(answer).path("detail").asText().endsWith("ask again with the same one"));
        HttpResponse<String> withoutKey =
                fixture.send(fixture.serviceRequest(0, "bay/reserve", "x", "X-Deadline-Ms", "600"));
        assertEquals("kv-unavailable", problem(withoutKey).path("code").asText());
        assertEquals("no", problem(withoutKey).path("ran").asText());
        assertTrue(bay.receivedRequests().isEmpty());
    }

    /** The claim is written, but the key-value service fails before the router can confirm it. */
    @Test
    void retryAfterAClaimRecordedTooLateLearnsThatNothingRan() throws Exception {
        AtomicBoolean written = new AtomicBoolean();
        fixture.kv().intercept((call, key) -> {
            if (written.get()) {
                throw new KvUnavailableException("down since the claim was written");
            }
            written.set(call == InMemoryKvStore.Call.PUT);
        });
        HttpResponse<String> first = fixture.send(
                fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k9", "X-Deadline-Ms", "600"));
        assertEquals("unknown", problem(first).path("ran").asText());
        fixture.kv().intercept((call, key) -> {});
        awaitRecordedOutcome("k9");
        HttpResponse<String> repeat =
                fixture.send(fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k9"));
        assertEquals(first.statusCode(), repeat.statusCode());
        assertEquals("kv-unavailable", problem(repeat).path("code").asText());
        assertEquals("no", problem(repeat).path("ran").asText());
        assertTrue(problem(repeat).path("detail").asText().endsWith("ask again with another one"));
        assertTrue(bay.receivedRequests().isEmpty());
    }

    @Test
    void requestWaitingDuringAKvOutageRunsWhenItEnds() throws Exception {
        fixture.kv().unavailable(true);
        CompletableFuture<HttpResponse<String>> waitingRequest =
                fixture.sendAsync(fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k4"));
        RouterFixture.await(() ->
                fixture.metrics(0).getGauges().get("requests.open").getValue().equals(1));
        fixture.kv().unavailable(false);
        assertEquals(200, waitingRequest.get().statusCode());
        assertEquals(1, bay.receivedRequests().size());
    }

    @Test
    void requestsBeyondMaxWaitingAreRefusedAtOnceAndTheirKeysStayUnused() throws Exception {
        int maxWaiting = 3;
        try (RouterFixture bounded = RouterFixture.start(1, ",\"claims\":{\"maxWaiting\":" + maxWaiting + "}")) {
            FakeTarget target = bounded.target("b1", FakeTarget.answer(200, "application/json", "{\"bay\":7}"));
            bounded.publish(bounded.fleet().service("bay", target));
            bounded.kv().unavailable(true);
            List<CompletableFuture<HttpResponse<String>>> waitingRequests = new ArrayList<>();
            for (int i = 0; i < maxWaiting; i++) {
                waitingRequests.add(bounded.sendAsync(
                        bounded.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "held" + i)));
            }
            RouterFixture.await(() -> bounded.metrics(0)
                    .getGauges()
                    .get("claims.waiting")
                    .getValue()
                    .equals(maxWaiting));
            HttpResponse<String> refused =
                    bounded.send(bounded.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "refused"));
            assertEquals("overloaded", problem(refused).path("code").asText());
            assertEquals("unknown", problem(refused).path("ran").asText());
            HttpResponse<String> withoutKey = bounded.send(bounded.serviceRequest(0, "bay/reserve", "x"));
            assertEquals("overloaded", problem(withoutKey).path("code").asText());
            assertEquals("no", problem(withoutKey).path("ran").asText());
            bounded.kv().unavailable(false);
            for (CompletableFuture<HttpResponse<String>> answer : waitingRequests) {
                assertEquals(200, answer.get().statusCode());
            }
            HttpResponse<String> again =
                    bounded.send(bounded.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "refused"));
            assertEquals(200, again.statusCode());
            assertEquals(maxWaiting + 1, target.receivedRequests().size());
        }
    }

    @Test
    void brokenCallIsNotRetriedAndItsOutcomeIsUnknown() throws Exception {
        bay.setBehaviour(FakeTarget.closeConnection());
        for (int attempt = 0; attempt < 2; attempt++) {
            HttpResponse<String> answer =
                    fixture.send(fixture.serviceRequest(attempt, "bay/reserve", "x", "Idempotency-Key", "k5"));
            assertEquals(attempt == 0 ? 502 : 409, answer.statusCode());
            assertEquals("unknown", problem(answer).path("ran").asText());
        }
        assertEquals(1, bay.receivedRequests().size());
    }

    @Test
    void callWithoutKeyIsSentOnceWithAGeneratedKey() throws Exception {
        bay.setBehaviour(FakeTarget.closeConnection());
        HttpResponse<String> answer = fixture.send(fixture.serviceRequest(0, "bay/reserve", "x"));
        assertEquals("outcome-unknown", problem(answer).path("code").asText());
        assertEquals(1, bay.receivedRequests().size());
        assertEquals(36, bay.receivedRequests().get(0).idempotencyKey().length());
    }

    @Test
    void atMostOnceCallToASilentTargetEndsAtTheDeadline() throws Exception {
        bay.setBehaviour(FakeTarget.neverAnswer());
        HttpResponse<String> answer = fixture.send(
                fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k6", "X-Deadline-Ms", "400"));
        assertEquals(504, answer.statusCode());
        assertEquals("unknown", problem(answer).path("ran").asText());
        assertEquals(1, bay.receivedRequests().size());
    }

    /** The target answers only the first request on each connection, like a connection that died while idle. */
    @Test
    void atMostOnceRequestDoesNotReuseAnIdleConnection() throws Exception {
        Set<ServerConnection> usedConnections = ConcurrentHashMap.newKeySet();
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            if (usedConnections.add(exchange.getConnection())) {
                FakeTarget.completion("because").answer(exchange, received);
            }
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        assertEquals(200, fixture.send(fixture.chatRequest(0, "deed", false)).statusCode());
        HttpResponse<String> answer =
                fixture.send(fixture.chatRequest(0, "deed", false, "Idempotency-Key", "k8", "X-Deadline-Ms", "3000"));
        assertEquals(200, answer.statusCode(), answer.body());
    }

    @Test
    void callRefusedAfterItsClaimDidNotRunAndRetriesGetTheSameRefusal() throws Exception {
        fixture.publish(fixture.fleet());
        HttpResponse<String> first = fixture.send(
                fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k7", "X-Deadline-Ms", "300"));
        assertEquals("no", problem(first).path("ran").asText());
        assertTrue(problem(first).path("detail").asText().endsWith("ask again with another one"));
        fixture.publish(fixture.fleet().service("bay", bay));
        awaitRecordedOutcome("k7");
        HttpResponse<String> repeat =
                fixture.send(fixture.serviceRequest(1, "bay/reserve", "x", "Idempotency-Key", "k7"));
        assertEquals(first.body(), repeat.body());
        assertTrue(bay.receivedRequests().isEmpty());
    }

    @Test
    void claimsAreWrittenLocallyWhenThePreferredRouterIsUnreachable() throws Exception {
        fixture.publish(fixture.fleet()
                .router("e8", "127.0.0.1:1", "127.0.0.1:1", io.persimmonstack.wire.gen.RouterState.SERVING)
                .service("bay", bay));
        for (int i = 0; i < 12; i++) {
            HttpResponse<String> answer =
                    fixture.send(fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "gone-" + i));
            assertEquals(200, answer.statusCode());
        }
        assertEquals(12, bay.receivedRequests().size());
    }

    @Test
    void requestClaimedAfterItsDeadlineIsNotDispatched() throws Exception {
        fixture.kv().intercept((call, key) -> {
            if (call == InMemoryKvStore.Call.PUT) {
                pause(500);
            }
        });
        HttpResponse<String> answer = fixture.send(
                fixture.serviceRequest(0, "bay/reserve", "x", "Idempotency-Key", "k9", "X-Deadline-Ms", "200"));
        assertEquals("unknown", problem(answer).path("ran").asText());
        assertTrue(bay.receivedRequests().isEmpty());
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static JsonNode problem(HttpResponse<String> answer) throws Exception {
        return MAPPER.readTree(answer.body());
    }
}
