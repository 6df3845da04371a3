package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.RouterState;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests through one router: discovery, answers, loads, refusals and tracing. */
class RouterTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void addressesOmitLeavingRouters() throws Exception {
        fixture.publish(fixture.fleet().router("e9", "127.0.0.9:1", "127.0.0.9:2", RouterState.LEAVING));
        JsonNode page = MAPPER.readTree(fixture.get("/v1/addresses").body());
        assertEquals(5_000, page.path("keepForMs").asInt());
        assertEquals(1, page.path("addresses").size());
        assertEquals(
                fixture.router(0).callersAddress().toString(),
                page.path("addresses").path(0).path("address").asText());
    }

    @Test
    void modelsListsWhatTheCallerMayUse() throws Exception {
        fixture.publish(fixture.fleet());
        JsonNode page = MAPPER.readTree(fixture.get("/v1/models").body());
        List<String> names = new ArrayList<>();
        page.path("data").forEach(model -> names.add(model.path("id").asText()));
        assertEquals(List.of("deed@v1", "deed@v1+clause", "deed@v2", "deed@v2+clause", "lease@v1"), names);
    }

    @ParameterizedTest
    @CsvSource({"deed,deed@v1", "deed@v2,deed@v2", "deed+clause,deed@v1+clause", "deed@v2+clause,deed@v2+clause"})
    void wholeAnswerComesFromARunnerWithTheModel(String requested, String resolved) throws Exception {
        FakeTarget runner = fixture.target("r1", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1", "deed@v2"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, requested, false, "X-Request-Id", "mine"));
        assertEquals(200, answer.statusCode());
        assertTrue(answer.body().contains("because"));
        assertEquals("mine", answer.headers().firstValue("X-Request-Id").orElseThrow());
        assertEquals(
                resolved,
                MAPPER.readTree(runner.receivedRequests().get(0).body())
                        .path("model")
                        .asText());
        assertTrue(runner.receivedRequests().get(0).requestId().startsWith("mine.e1-"));
    }

    @Test
    void streamArrivesCompletely() throws Exception {
        FakeTarget runner = fixture.target("r1", FakeTarget.stream(50, 1_000));
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(50), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
    }

    @Test
    void serviceCallsForwardPathAndBody() throws Exception {
        FakeTarget map = fixture.target("m1", FakeTarget.answer(201, "text/plain", "drawn"));
        fixture.publish(fixture.fleet().service("map", map));
        HttpResponse<String> answer = fixture.send(fixture.serviceRequest(0, "map/tiles/7?x=1", "north"));
        assertEquals(201, answer.statusCode());
        assertEquals("drawn", answer.body());
        assertEquals("/tiles/7", map.receivedRequests().get(0).path());
        assertEquals("north", map.receivedRequests().get(0).body());
    }

    @Test
    void burstForAColdModelTriggersOneLoad() throws Exception {
        fixture.publish(fixture.fleet());
        FakeTarget runner = fixture.target("r1", FakeTarget.completion("because"));
        fixture.coordinator().answerLoadsWith(request -> {
            RouterFixture.await(() -> fixture.metrics(0)
                    .getGauges()
                    .get("queue.length")
                    .getValue()
                    .equals(12));
            fixture.coordinator().publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
            return new LoadAnswer(LoadResult.LOADED).setRunner("r1");
        });
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            answers.add(fixture.sendAsync(fixture.chatRequest(0, "deed", false)));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.get().statusCode());
        }
        assertEquals(
                1,
                fixture.coordinator().loadRequests().stream()
                        .filter(load -> load.getReplicasWanted() == 1)
                        .count());
        assertEquals("deed@v1", fixture.coordinator().loadRequests().get(0).getModel());
    }

    @Test
    void waitingRequestIsRefusedWhenTheLoadIsRefused() throws Exception {
        fixture.publish(fixture.fleet());
        fixture.coordinator()
                .answerLoadsWith(request -> new LoadAnswer(LoadResult.REFUSED_CAP)
                        .setReason("2 of 2 replicas elsewhere")
                        .setRetryAfterMs(700));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false));
        JsonNode problem = MAPPER.readTree(answer.body());
        assertEquals(503, answer.statusCode());
        assertEquals(
                "application/problem+json",
                answer.headers().firstValue("Content-Type").orElseThrow());
        assertEquals("replica-cap", problem.path("code").asText());
        assertEquals("no", problem.path("ran").asText());
        assertTrue(problem.path("retryAfterMs").asLong() >= 350);
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"model\":\"deed\"|400|malformed",
                "[]|400|malformed",
                "{\"messages\":[]}|400|malformed",
                "{\"model\":\"deed\",\"messages\":7}|400|malformed",
                "{\"model\":\"deed@\",\"messages\":[]}|400|malformed",
                "{\"model\":\"ded\",\"messages\":[]}|404|unknown-model",
                "{\"model\":\"deed@v7\",\"messages\":[]}|403|not-authorised",
            })
    void invalidBodiesAreRefusedAsNotRun(String body, int status, String code) throws Exception {
        fixture.publish(fixture.fleet());
        HttpResponse<String> answer = fixture.send(fixture.request(0, "/v1/chat/completions")
                .POST(java.net.http.HttpRequest.BodyPublishers.ofString(body))
                .build());
        JsonNode problem = MAPPER.readTree(answer.body());
        assertEquals(status, answer.statusCode());
        assertEquals(code, problem.path("code").asText());
        assertEquals("no", problem.path("ran").asText());
    }

    @Test
    void onlyCallersWithAKeyAndAGrantAreServed() throws Exception {
        fixture.publish(fixture.fleet());
        var chat = fixture.chatRequest(0, "lease", false);
        var unknown = java.net.http.HttpRequest.newBuilder(chat, (name, value) -> !name.equals("Authorization"));
        assertEquals(401, fixture.send(unknown.build()).statusCode());
        var hotel = unknown.copy().header("Authorization", "Bearer " + FakeFleet.OTHER_CALLER_KEY);
        assertEquals(403, fixture.send(hotel.build()).statusCode());
        var wrong = unknown.copy().header("Authorization", "Bearer " + FakeFleet.CALLER_KEY + "x");
        assertEquals(401, fixture.send(wrong.build()).statusCode());
    }

    @Test
    void everyFilterAddsASpanToTheCallersTrace() throws Exception {
        FakeTarget runner = fixture.target("r1", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        String trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        fixture.send(fixture.chatRequest(0, "deed", false, "traceparent", "00-" + trace + "-00f067aa0ba902b7-01"));
        var buffer = fixture.context(0).tracing().buffer();
        RouterFixture.await(() -> buffer.trace(trace).size() == 13);
        List<String> names = buffer.trace(trace).stream()
                .map(span -> span.getName())
                .sorted()
                .toList();
        assertEquals(
                List.of(
                        "account",
                        "admit",
                        "authorise",
                        "blocked-prompt",
                        "claim",
                        "deadline",
                        "dispatch",
                        "identify",
                        "place",
                        "prompt-turn",
                        "receive",
                        "relay",
                        "retry"),
                names);
        assertFalse(fixture.coordinator().loadRequests().size() > 0);
    }
}
