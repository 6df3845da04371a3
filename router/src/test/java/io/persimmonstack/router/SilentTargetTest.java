package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.Headers;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sound targets that send nothing for a while and then go on. */
@Timeout(60)
class SilentTargetTest {
    /** Longer than the timeouts of the settings below, and than half of {@link #DEADLINE_MS}. */
    private static final int SILENCE_MS = 1_700;

    private static final String DEADLINE_MS = "3000";
    private static final String TIMEOUTS =
            ",\"targets\":{\"progressMs\":300,\"firstTokenMs\":300,\"minFirstByteMs\":300}";
    private static final int TOKENS = 5;
    /** More streams than the retry budget allows to be resumed at once. */
    private static final int STREAMS_BEYOND_BUDGET = 30;

    /** More than the failures in succession that open a circuit. */
    private static final int SILENT_STREAMS = 8;

    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1, TIMEOUTS);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private FakeTarget startOnlyRunner(FakeTarget.Behaviour behaviour) {
        FakeTarget runner = fixture.target("r1", behaviour);
        fixture.publish(fixture.fleet().runner(runner, "z1", STREAMS_BEYOND_BUDGET, "deed@v1"));
        return runner;
    }

    private static FakeTarget.Behaviour silentBeforeTheAnswer() {
        return (exchange, received) -> {
            Thread.sleep(SILENCE_MS);
            FakeTarget.completion("because").answer(exchange, received);
        };
    }

    /** Streams tokens, and is silent after the first token of each answer. */
    private static FakeTarget.Behaviour silentAfterTheFirstToken() {
        return (exchange, received) -> {
            int first = received.resumeFrom().isEmpty() ? 1 : Integer.parseInt(received.resumeFrom()) + 1;
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            for (int token = first; token <= TOKENS; token++) {
                FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t" + token + " \"}}]}\n\n");
                if (token == first) {
                    Thread.sleep(SILENCE_MS);
                }
            }
            FakeTarget.send(exchange, "data: [DONE]\n\n");
            exchange.endExchange();
        };
    }

    /** The head timeout used to end the attempt, and the request was run again and refused in the end. */
    @Test
    void wholeAnswerOfTheOnlyTargetIsAwaited() throws Exception {
        FakeTarget runner = startOnlyRunner(silentBeforeTheAnswer());
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", DEADLINE_MS));
        assertEquals(200, answer.statusCode(), answer.body());
        assertEquals(1, runner.receivedRequests().size());
    }

    /** An answer that stopped midway used to be given up, also where the request must not be sent again. */
    @Test
    void restOfAnAnswerThatMayNotBeRepeatedIsAwaited() throws Exception {
        String body = "{\"choices\":[{\"message\":{\"content\":\"because\"}}]}";
        startOnlyRunner((exchange, received) -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length()));
            FakeTarget.send(exchange, body.substring(0, 10));
            Thread.sleep(SILENCE_MS);
            FakeTarget.send(exchange, body.substring(10));
        });
        HttpResponse<String> answer = fixture.send(
                fixture.chatRequest(0, "deed", false, "Idempotency-Key", "k", "X-Deadline-Ms", DEADLINE_MS));
        assertEquals(body, answer.body());
    }

    /** The caller's connection used to be closed in the middle of an answer that is relayed in chunks. */
    @Test
    void restOfALargeAnswerIsAwaited() throws Exception {
        String half = "x".repeat(1 << 20);
        FakeTarget map = fixture.target("m1", (exchange, received) -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(2 * half.length()));
            FakeTarget.send(exchange, half);
            Thread.sleep(SILENCE_MS);
            FakeTarget.send(exchange, half);
        });
        fixture.publish(fixture.fleet().service("map", map));
        HttpResponse<String> answer = fixture.send(fixture.serviceRequest(0, "map/", "", "X-Deadline-Ms", DEADLINE_MS));
        assertEquals(2 * half.length(), answer.body().length());
    }

    /** A stream that may not be resumed used to end with an error event. */
    @Test
    void streamThatMayNotBeRepeatedOutlivesTheSilence() throws Exception {
        startOnlyRunner(silentAfterTheFirstToken());
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true, "Idempotency-Key", "k"));
        assertEquals(StreamTokens.upTo(TOKENS), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
    }

    /** Every attempt falls silent: the last one used to be given up as well. */
    @Test
    void streamOutlivesTheSilenceOfItsLastAttempt() throws Exception {
        FakeTarget runner = startOnlyRunner(silentAfterTheFirstToken());
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(TOKENS), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
        assertEquals(2, runner.receivedRequests().size());
    }

    /** Streams that fall silent at the same time used to be cut as soon as the retry budget was spent. */
    @Test
    void streamsBeyondTheRetryBudgetStayWithTheirSilentTarget() throws Exception {
        FakeTarget runner = startOnlyRunner(silentAfterTheFirstToken());
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < STREAMS_BEYOND_BUDGET; i++) {
            answers.add(fixture.sendAsync(fixture.chatRequest(0, "deed", true)));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(
                    StreamTokens.upTo(TOKENS), StreamTokens.parse(answer.get().body()));
        }
        assertTrue(runner.receivedRequests().size() < 2 * STREAMS_BEYOND_BUDGET);
    }

    /** Streams that fell silent together used to open the circuit of their target, so that it got no other request. */
    @Test
    void targetWithSilentStreamsStillGetsRequests() throws Exception {
        FakeTarget runner = startOnlyRunner((exchange, received) -> {
            if (received.body().contains("\"stream\":true")) {
                silentAfterTheFirstToken().answer(exchange, received);
            } else {
                FakeTarget.completion("because").answer(exchange, received);
            }
        });
        List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int i = 0; i < SILENT_STREAMS; i++) {
            streams.add(fixture.sendAsync(fixture.chatRequest(0, "deed", true)));
        }
        RouterFixture.await(() -> runner.receivedRequests().size() == 2 * SILENT_STREAMS);
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", "1000"));
        assertEquals(200, answer.statusCode(), answer.body());
        for (CompletableFuture<HttpResponse<String>> stream : streams) {
            assertEquals(
                    StreamTokens.upTo(TOKENS), StreamTokens.parse(stream.get().body()));
        }
    }

    /** A stream whose first token was late used to end with an error event, since no other attempt could follow. */
    @Test
    void lateFirstTokenOfTheOnlyTargetIsAwaited() throws Exception {
        FakeTarget runner = startOnlyRunner((exchange, received) -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
            Thread.sleep(SILENCE_MS);
            FakeTarget.stream(TOKENS, TOKENS).answer(exchange, received);
        });
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
        assertEquals(StreamTokens.upTo(TOKENS), StreamTokens.parse(answer.body()));
        assertEquals(1, runner.receivedRequests().size());
    }

    /** A silent target must not hold a request while another one is free. */
    @Test
    void requestOfASilentTargetGoesToAFreeOne() throws Exception {
        FakeTarget silent = fixture.target("silent", FakeTarget.neverAnswer());
        FakeTarget healthy = fixture.target("good", FakeTarget.completion("because"));
        fixture.publish(fixture.fleet().runner(silent, "z1", 4, "deed@v1").runner(healthy, "z2", 4, "deed@v1"));
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Deadline-Ms", DEADLINE_MS));
        assertEquals(200, answer.statusCode(), answer.body());
        assertEquals(1, healthy.receivedRequests().size());
    }
}
