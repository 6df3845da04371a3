package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;

/** Faults of targets and callers: retries, resumed streams, circuit breaking and cancellation. */
class TargetFaultsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TIMEOUTS = ",\"targets\":{\"progressMs\":300,\"minFirstByteMs\":300}";
    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1, TIMEOUTS);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("reset before the first byte", FakeTarget.closeConnection()),
                Arguments.of("reset midway in the body", partialBody()),
                Arguments.of("silent connection", FakeTarget.neverAnswer()),
                Arguments.of("answer to another request", answerToAnotherRequest()),
                Arguments.of("server error", FakeTarget.answer(500, "text/plain", "no")),
                Arguments.of("full", FakeTarget.answer(429, "text/plain", "full")),
                Arguments.of("model not loaded", FakeTarget.answer(404, "text/plain", "unknown model")),
                Arguments.of("leaving", leaving()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void repeatableRequestIsRetriedAtAnotherTarget(String fault, FakeTarget.Behaviour behaviour) throws Exception {
        FakeTarget faulty = fixture.target("bad", behaviour);
        FakeTarget healthy = fixture.target("good", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(faulty, "z1", 4, "deed@v1").runner(healthy, "z2", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "4000"));
        assertEquals(200, answer.statusCode(), answer.body());
        assertTrue(answer.body().contains("because"));
        assertEquals(1, faulty.receivedRequests().size());
        assertEquals(1, healthy.receivedRequests().size());
    }

    @Test
    void modelUnloadedBeforeTheSnapshotShowsItIsLoadedElsewhere() throws Exception {
        FakeTarget unloading = fixture.target("unloading", FakeTarget.answer(404, "text/plain", "unknown model"));
        FakeTarget other = fixture.target("other", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(unloading, "z1", 4, "deed@v1"));
        fixture.coordinator().answerLoadsWith(request -> {
            fixture.coordinator()
                    .publish(fixture.fleet()
                            .runner(unloading, "z1", 4, "deed@v1")
                            .runner(other, "z2", 4, "deed@v1"));
            return new LoadAnswer(LoadResult.LOADING).setRunner("other");
        });
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "10000"));
        assertEquals(200, answer.statusCode(), answer.body());
        assertEquals(1, unloading.receivedRequests().size());
        assertEquals(1, other.receivedRequests().size());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void atMostOnceRequestReachesOneTargetOnce(String fault, FakeTarget.Behaviour behaviour) throws Exception {
        FakeTarget faulty = fixture.target("bad", behaviour);
        FakeTarget healthy = fixture.target("good", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(faulty, "z1", 4, "deed@v1").runner(healthy, "z2", 4, "deed@v1"));
        HttpResponse<String> answer =
                fixture.send(fixture.chatRequest(0, "deed", false, "Idempotency-Key", "k", "X-Deadline-Ms", "1000"));
        assertTrue(healthy.receivedRequests().isEmpty());
        assertEquals(1, faulty.receivedRequests().size());
        boolean provablyNotRun = List.of("full", "model not loaded", "leaving").contains(fault);
        if (!fault.equals("server error")) {
            assertEquals(
                    provablyNotRun ? "no" : "unknown",
                    MAPPER.readTree(answer.body()).path("ran").asText());
        }
    }

    @Test
    void brokenStreamResumesAfterTheLastDeliveredToken() throws Exception {
        FakeTarget runner = fixture.target("r1", FakeTarget.stream(40, 15));
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(40), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
        assertEquals(
                List.of("", "15", "30"),
                runner.receivedRequests().stream()
                        .map(FakeTarget.ReceivedRequest::resumeFrom)
                        .toList());
        assertEquals(
                1,
                runner.receivedRequests().stream()
                        .map(FakeTarget.ReceivedRequest::requestId)
                        .distinct()
                        .count());
    }

    @Test
    void streamThatCannotResumeEndsWithAnErrorEventAndWithoutDone() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                FakeTarget.stream(40, 15).answer(exchange, received);
            } else {
                FakeTarget.answer(409, "text/plain", "cannot resume").answer(exchange, received);
            }
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true, "X-Deadline-Ms", "2000"));
        assertEquals(StreamTokens.upTo(15), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().contains("event: error\ndata: {\"type\":\"urn:persimmonstack:refusal:"));
        assertTrue(answer.body().contains("\"ran\":\"unknown\""));
        assertFalse(answer.body().contains("[DONE]"));
    }

    /** The caller's connection used to be closed without an error event. */
    @Test
    void streamWhoseResumptionIsAnsweredWholeEndsWithAnErrorEvent() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            FakeTarget.Behaviour behaviour =
                    received.resumeFrom().isEmpty() ? FakeTarget.stream(40, 15) : FakeTarget.completion("whole");
            behaviour.answer(exchange, received);
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true, "X-Deadline-Ms", "2000"));
        assertEquals(StreamTokens.upTo(15), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().contains("event: error\n"), answer.body());
        assertFalse(answer.body().contains("whole"), answer.body());
    }

    /** A stream with neither a length nor chunks ends with its connection; without its last event it has been cut. */
    @ParameterizedTest
    @ValueSource(strings = {"", "data: {\"choi", "data: [DONE]", "data: [DONE]\n"})
    void streamWithoutLengthThatEndsBeforeItsLastEventIsResumed(String cut) throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            FakeTarget.Behaviour behaviour = received.resumeFrom().isEmpty()
                    ? FakeTarget.streamWithoutLength(tokenEvents(3) + cut)
                    : FakeTarget.stream(5, 1_000);
            behaviour.answer(exchange, received);
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(5), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
        assertEquals(2, runner.receivedRequests().size());
    }

    @Test
    void streamWithoutLengthIsCompleteWithItsLastEvent() throws Exception {
        FakeTarget runner = fixture.target("r1", FakeTarget.streamWithoutLength(tokenEvents(3) + "data: [DONE]\n\n"));
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(tokenEvents(3) + "data: [DONE]\n\n", answer.body());
        assertEquals(1, runner.receivedRequests().size());
    }

    private static String tokenEvents(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(i -> "data: {\"choices\":[{\"delta\":{\"content\":\"t" + i + " \"}}]}\n\n")
                .collect(Collectors.joining());
    }

    /** Events without a token used to be left out of the whole rest of a resumed stream. */
    @Test
    void usageAtTheEndOfAResumedStreamIsRelayed() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                FakeTarget.stream(4, 2).answer(exchange, received);
                return;
            }
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
            FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t3 \"}}]}\n\n");
            FakeTarget.send(exchange, "data: {\"choices\":[],\"usage\":{\"total_tokens\":3}}\n\ndata: [DONE]\n\n");
            exchange.endExchange();
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(3), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().contains("total_tokens"), answer.body());
        assertEquals(2, answer.body().split("\"role\"", -1).length, answer.body());
    }

    @Test
    void stalledStreamIsResumedOnANewConnection() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
                FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}\n\n");
            } else {
                FakeTarget.stream(5, 1_000).answer(exchange, received);
            }
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(5), StreamTokens.parse(answer.body()));
    }

    @Test
    void malformedEventIsNotRelayedAndEndsTheStreamWithAnError() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}\n\ndata: {not json\n\n");
            exchange.endExchange();
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true, "X-Deadline-Ms", "2000"));
        assertFalse(answer.body().contains("not json\n"));
        assertTrue(answer.body().contains("event: error"));
    }

    /** A target may announce that it is leaving in an answer or be shown as leaving in the snapshot. */
    @Test
    void leavingTargetGetsNoNewWork() throws Exception {
        FakeTarget announcesLeaving = fixture.target("told", FakeTarget.completion("told"));
        FakeTarget shownAsLeaving = fixture.target("shown", FakeTarget.completion("shown"));
        FakeTarget stays = fixture.target("stays", FakeTarget.completion("stays"));
        announcesLeaving.setBehaviour(leaving());
        fixture.publish(fixture.fleet()
                .runner(announcesLeaving, "z1", 4, "deed@v1")
                .runner(shownAsLeaving, "z1", 4, true, "deed@v1")
                .runner(stays, "z2", 4, "deed@v1"));
        for (int i = 0; i < 10; i++) {
            assertTrue(
                    fixture.send(fixture.chatRequest(0, "deed", false)).body().contains("stays"));
        }
        assertEquals(1, announcesLeaving.receivedRequests().size());
        assertEquals(0, shownAsLeaving.receivedRequests().size());
    }

    @Test
    void openCircuitStopsRequestsToAFailingTarget() throws Exception {
        FakeTarget faulty = fixture.target("bad", FakeTarget.closeConnection());
        FakeTarget healthy = fixture.target("good", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(faulty, "z1", 4, "deed@v1").runner(healthy, "z2", 4, "deed@v1"));
        for (int i = 0; i < 15; i++) {
            assertEquals(
                    200, fixture.send(fixture.chatRequest(0, "deed", false)).statusCode());
        }
        assertTrue(
                faulty.receivedRequests().size() < 15,
                "attempts " + faulty.receivedRequests().size());
    }

    /** Requests whose deadline passed before they were sent used to count as failures of their target. */
    @Test
    void expiredRequestsDoNotOpenTheCircuitOfTheirTarget() throws Exception {
        FakeTarget runner = fixture.target("r1", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        for (int i = 0; i < 20; i++) {
            fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "1"));
        }
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "300"));
        assertEquals(200, answer.statusCode(), answer.body());
    }

    @Test
    void silentConnectionsDoNotOpenTheCircuitOfATargetThatAnswersOthers() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            if (!received.body().contains("hang")) {
                FakeTarget.completion("because").answer(exchange, received);
            }
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 20, "deed@v1"));
        fixture.send(fixture.chatRequest(0, "deed", false));
        var unanswered = new java.util.ArrayList<java.util.concurrent.CompletableFuture<HttpResponse<String>>>();
        for (int i = 0; i < 6; i++) {
            unanswered.add(fixture.sendAsync(fixture.promptRequest(0, "hang", "X-Deadline-Ms", "1500")));
        }
        await(() -> runner.receivedRequests().size() >= 7);
        while (unanswered.stream().anyMatch(answer -> !answer.isDone())) {
            assertEquals(
                    200, fixture.send(fixture.chatRequest(0, "deed", false)).statusCode());
        }
    }

    @Test
    void callerDisconnectCancelsTheRequestAtTheTarget() throws Exception {
        FakeTarget runner = fixture.target("r1", (exchange, received) -> {
            while (true) {
                FakeTarget.send(exchange, " ");
                Thread.sleep(20);
            }
        });
        fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
        try (CallerConnection caller = CallerConnection.open(fixture.router(0))) {
            caller.send("POST", "/v1/chat/completions", "{\"model\":\"deed\",\"messages\":[]}");
            await(() -> runner.receivedRequests().size() == 1);
        }
        await(() -> runner.closedConnections() == 1);
        await(() -> fixture.metrics(0).counter("requests.caller-gone").getCount() == 1);
        await(() ->
                fixture.metrics(0).getGauges().get("requests.open").getValue().equals(0));
    }

    @Test
    void callerThatStopsReadingIsDisconnected() throws Exception {
        try (RouterFixture slow = RouterFixture.start(1, ",\"callers\":{\"slowCallerMs\":300}")) {
            FakeTarget map = slow.target("m1", FakeTarget.answer(200, "text/plain", "x".repeat(32 << 20)));
            slow.publish(slow.fleet().service("map", map));
            try (CallerConnection caller = CallerConnection.open(slow.router(0))) {
                caller.send("POST", "/services/map/", "");
                await(() -> slow.metrics(0).counter("requests.caller-gone").getCount() == 1);
                await(() -> slow.metrics(0)
                        .getGauges()
                        .get("requests.open")
                        .getValue()
                        .equals(0));
            }
        }
    }

    private static void await(BooleanSupplier condition) {
        RouterFixture.await(condition);
    }

    private static FakeTarget.Behaviour partialBody() {
        return (exchange, received) -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, "100");
            FakeTarget.send(exchange, "{\"choices\":");
            IoUtils.safeClose(exchange.getConnection());
        };
    }

    private static FakeTarget.Behaviour answerToAnotherRequest() {
        return (exchange, received) -> {
            exchange.getResponseHeaders().put(HttpString.tryFromString("X-Request-Id"), "another");
            FakeTarget.completion("not yours").answer(exchange, received);
        };
    }

    private static FakeTarget.Behaviour leaving() {
        return (exchange, received) -> {
            exchange.getResponseHeaders().put(HttpString.tryFromString("X-Leaving"), "true");
            FakeTarget.answer(503, "text/plain", "leaving").answer(exchange, received);
        };
    }
}
