package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.IoUtils;

/** Streams over targets of several software versions: only the version that began a stream may go on with it. */
@Timeout(60)
class StreamResumptionVersionTest {
    private static final String TIMEOUTS =
            ",\"targets\":{\"progressMs\":300,\"firstTokenMs\":300,\"minFirstByteMs\":300}";
    private static final HttpString SOFTWARE_VERSION = HttpString.tryFromString("X-Software-Version");
    /** Longer than the timeouts of the settings above. */
    private static final int SILENCE_MS = 1_200;

    private static final int TOKENS = 6;
    private static final int TOKENS_BEFORE_BREAK = 3;
    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1, TIMEOUTS);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Breaks a stream after some tokens, and answers none that is to be resumed. */
    private static FakeTarget.Behaviour breakForGood() {
        return (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                FakeTarget.stream(TOKENS, TOKENS_BEFORE_BREAK).answer(exchange, received);
            } else {
                IoUtils.safeClose(exchange.getConnection());
            }
        };
    }

    private static FakeTarget.Behaviour wholeStream() {
        return FakeTarget.stream(TOKENS, TOKENS);
    }

    /** Tells a software version in the answer, as the target's process does. */
    private static FakeTarget.Behaviour telling(String version, FakeTarget.Behaviour behaviour) {
        return (exchange, received) -> {
            exchange.getResponseHeaders().put(SOFTWARE_VERSION, version);
            behaviour.answer(exchange, received);
        };
    }

    private HttpResponse<String> sendStream() throws Exception {
        return fixture.send(fixture.chatRequest(0, "deed", true));
    }

    private static void assertWhole(HttpResponse<String> answer) {
        assertEquals(StreamTokens.upTo(TOKENS), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
    }

    /** Asserts that the stream ended where it broke, because no target could go on, and not at its deadline. */
    private static void assertEndedAtTheBreak(HttpResponse<String> answer) {
        assertEquals(StreamTokens.upTo(TOKENS_BEFORE_BREAK), StreamTokens.parse(answer.body()));
        assertTrue(answer.body().contains("event: error\n"), answer.body());
        assertTrue(answer.body().contains("\"ran\":\"unknown\""), answer.body());
        assertTrue(answer.body().contains("refusal:target-failed"), answer.body());
        assertFalse(answer.body().contains("[DONE]"), answer.body());
    }

    /** The other version used to be sent the rest of the stream. */
    @Test
    void brokenStreamDoesNotGoOnAtAnotherVersion() throws Exception {
        FakeTarget first = fixture.target("first", breakForGood());
        FakeTarget other = fixture.target("other", wholeStream());
        fixture.publish(fixture.fleet()
                .runner(first, "z1", 4, "deed@v1")
                .softwareVersion("a")
                .runner(other, "z2", 4, "deed@v1")
                .softwareVersion("b"));
        assertEndedAtTheBreak(sendStream());
        assertEquals(0, other.receivedRequests().size());
    }

    @Test
    void brokenStreamGoesOnAtAnotherTargetOfItsVersion() throws Exception {
        FakeTarget first = fixture.target("first", breakForGood());
        FakeTarget second = fixture.target("second", wholeStream());
        List<FakeTarget> others = new ArrayList<>();
        FakeFleet fleet = fixture.fleet().runner(first, "z1", 4, "deed@v1").softwareVersion("a");
        for (int i = 1; i <= 5; i++) {
            FakeTarget other = fixture.target("other-" + i, wholeStream());
            others.add(other);
            fleet.runner(other, "z2", 4, "deed@v1").softwareVersion("b");
        }
        fixture.publish(fleet.runner(second, "z3", 4, "deed@v1").softwareVersion("a"));
        assertWhole(sendStream());
        assertEquals(List.of("3"), resumptions(second));
        others.forEach(other -> assertEquals(0, other.receivedRequests().size(), other.name()));
    }

    /** A target whose version is not known is not taken to be of the version of another such target. */
    @Test
    void streamOfUnknownVersionGoesOnOnlyAtItsTarget() throws Exception {
        FakeTarget first = fixture.target("first", breakForGood());
        FakeTarget other = fixture.target("other", wholeStream());
        fixture.publish(fixture.fleet().runner(first, "z1", 4, "deed@v1").runner(other, "z2", 4, "deed@v1"));
        assertEndedAtTheBreak(sendStream());
        assertEquals(0, other.receivedRequests().size());
    }

    /** Each answer of the first target falls silent after one token; the other one used to replace it. */
    @Test
    void silentTargetIsNotReplacedByOneOfAnotherVersion() throws Exception {
        FakeTarget silent = fixture.target("silent", (exchange, received) -> {
            int first = received.resumeFrom().isEmpty() ? 1 : Integer.parseInt(received.resumeFrom()) + 1;
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            for (int token = first; token <= TOKENS; token++) {
                sendToken(exchange, token);
                if (token == first) {
                    Thread.sleep(SILENCE_MS);
                }
            }
            FakeTarget.send(exchange, "data: [DONE]\n\n");
            exchange.endExchange();
        });
        FakeTarget other = fixture.target("other", wholeStream());
        fixture.publish(fixture.fleet()
                .runner(silent, "z1", 4, "deed@v1")
                .softwareVersion("a")
                .runner(other, "z2", 4, "deed@v1")
                .softwareVersion("b"));
        assertWhole(sendStream());
        assertEquals(0, other.receivedRequests().size());
    }

    @Test
    void requestWithoutADeliveredTokenCrossesVersions() throws Exception {
        FakeTarget first = fixture.target("first", FakeTarget.stream(TOKENS, 0));
        FakeTarget other = fixture.target("other", wholeStream());
        fixture.publish(fixture.fleet()
                .runner(first, "z1", 4, "deed@v1")
                .softwareVersion("a")
                .runner(other, "z2", 4, "deed@v1")
                .softwareVersion("b"));
        assertWhole(sendStream());
        assertEquals(1, other.receivedRequests().size());
    }

    /** The opening event of the first target used to stand before the tokens of the other one. */
    @Test
    void openingEventsOfAnAbandonedTargetAreNotRelayed() throws Exception {
        FakeTarget first = fixture.target("first", (exchange, received) -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            FakeTarget.send(
                    exchange,
                    "data: {\"system_fingerprint\":\"a\",\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
            IoUtils.safeClose(exchange.getConnection());
        });
        FakeTarget other = fixture.target("other", wholeStream());
        fixture.publish(fixture.fleet()
                .runner(first, "z1", 4, "deed@v1")
                .softwareVersion("a")
                .runner(other, "z2", 4, "deed@v1")
                .softwareVersion("b"));
        HttpResponse<String> answer = sendStream();
        assertWhole(answer);
        assertFalse(answer.body().contains("system_fingerprint"), answer.body());
        assertEquals(2, answer.body().split("\"role\"", -1).length, answer.body());
    }

    /** The snapshot is older than the process that answers: its answer tells the version. */
    @Test
    void processReplacedUnderTheSameNameDoesNotGoOn() throws Exception {
        FakeTarget replaced = fixture.target("replaced", (exchange, received) -> {
            FakeTarget.Behaviour behaviour = received.resumeFrom().isEmpty()
                    ? telling("a", FakeTarget.stream(TOKENS, TOKENS_BEFORE_BREAK))
                    : telling("b", wholeStream());
            behaviour.answer(exchange, received);
        });
        fixture.publish(fixture.fleet().runner(replaced, "z1", 4, "deed@v1").softwareVersion("a"));
        assertEndedAtTheBreak(sendStream());
        assertEquals(List.of("3"), resumptions(replaced));
    }

    @Test
    void streamOfAReplacedProcessGoesOnAtAnotherTargetOfItsVersion() throws Exception {
        FakeTarget replaced = fixture.target("replaced", (exchange, received) -> {
            FakeTarget.Behaviour behaviour = received.resumeFrom().isEmpty()
                    ? telling("a", FakeTarget.stream(TOKENS, TOKENS_BEFORE_BREAK))
                    : telling("b", wholeStream());
            behaviour.answer(exchange, received);
        });
        FakeTarget second = fixture.target("second", telling("a", wholeStream()));
        fixture.publish(fixture.fleet()
                .runner(replaced, "z1", 4, "deed@v1")
                .softwareVersion("a")
                .runner(second, "z2", 4, "deed@v1")
                .softwareVersion("a"));
        assertWhole(sendStream());
        assertEquals(List.of("3"), resumptions(second));
    }

    /** What the process itself tells is newer than the snapshot, also for the version that begins a stream. */
    @Test
    void streamBelongsToTheVersionThatItsFirstAnswerTells() throws Exception {
        FakeTarget first = fixture.target("first", telling("b", breakForGood()));
        FakeTarget stale = fixture.target("stale", telling("a", wholeStream()));
        FakeTarget second = fixture.target("second", telling("b", wholeStream()));
        fixture.publish(fixture.fleet()
                .runner(first, "z1", 4, "deed@v1")
                .softwareVersion("a")
                .runner(stale, "z2", 4, "deed@v1")
                .softwareVersion("a")
                .runner(second, "z3", 4, "deed@v1")
                .softwareVersion("b"));
        assertWhole(sendStream());
        assertEquals(0, stale.receivedRequests().size());
    }

    /** A stream that waits for a target of its version must not hold up requests that others could serve. */
    @Test
    void streamThatWaitsForItsVersionBlocksNoOtherRequest() throws Exception {
        CountDownLatch breakNow = new CountDownLatch(1);
        CountDownLatch endNow = new CountDownLatch(1);
        FakeTarget first = fixture.target("first", (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                sendToken(exchange, 1);
                breakNow.await();
                IoUtils.safeClose(exchange.getConnection());
            } else {
                exchange.getResponseHeaders().put(HttpString.tryFromString("X-Leaving"), "true");
                FakeTarget.answer(503, "text/plain", "leaving").answer(exchange, received);
            }
        });
        FakeTarget busy = fixture.target("busy", (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                endNow.await();
            }
            wholeStream().answer(exchange, received);
        });
        FakeTarget free = fixture.target("free", wholeStream());
        FakeFleet fleet = fixture.fleet().runner(busy, "z1", 1, "deed@v1").softwareVersion("a");
        fixture.publish(fleet);
        CompletableFuture<HttpResponse<String>> occupant =
                fixture.sendAsync(fixture.chatRequest(0, "deed", true, "Idempotency-Key", "k"));
        RouterFixture.await(() -> busy.receivedRequests().size() == 1);
        fixture.publish(fleet.runner(first, "z1", 1, "deed@v1").softwareVersion("a"));
        CompletableFuture<HttpResponse<String>> broken = fixture.sendAsync(fixture.chatRequest(0, "deed", true));
        RouterFixture.await(() -> first.receivedRequests().size() == 1);
        fixture.publish(fleet.runner(free, "z2", 4, "deed@v1").softwareVersion("b"));
        breakNow.countDown();
        RouterFixture.await(() -> first.receivedRequests().size() == 2);
        assertWhole(sendStream());
        assertFalse(broken.isDone());
        endNow.countDown();
        assertWhole(occupant.get());
        assertWhole(broken.get());
        assertEquals(1, free.receivedRequests().size());
    }

    /** A stream that waits ends once the last target of its version has gone, since waiting longer is of no use. */
    @Test
    void waitingStreamEndsWhenTheLastTargetOfItsVersionGoes() throws Exception {
        FakeTarget leaving = fixture.target("leaving", (exchange, received) -> {
            if (received.resumeFrom().isEmpty()) {
                FakeTarget.stream(TOKENS, TOKENS_BEFORE_BREAK).answer(exchange, received);
            } else {
                exchange.getResponseHeaders().put(HttpString.tryFromString("X-Leaving"), "true");
                FakeTarget.answer(503, "text/plain", "leaving").answer(exchange, received);
            }
        });
        FakeTarget other = fixture.target("other", wholeStream());
        fixture.publish(fixture.fleet().runner(leaving, "z1", 4, "deed@v1").softwareVersion("a"));
        CompletableFuture<HttpResponse<String>> broken = fixture.sendAsync(fixture.chatRequest(0, "deed", true));
        RouterFixture.await(() -> leaving.receivedRequests().size() == 2);
        fixture.publish(fixture.fleet().runner(other, "z1", 4, "deed@v1").softwareVersion("b"));
        assertEndedAtTheBreak(broken.get());
        assertEquals(0, other.receivedRequests().size());
    }

    private static void sendToken(HttpServerExchange exchange, int token) throws Exception {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        FakeTarget.send(exchange, "data: {\"choices\":[{\"delta\":{\"content\":\"t" + token + " \"}}]}\n\n");
    }

    /** Returns after which tokens a target was asked to go on. */
    private static List<String> resumptions(FakeTarget target) {
        return target.receivedRequests().stream()
                .map(FakeTarget.ReceivedRequest::resumeFrom)
                .filter(resumeFrom -> !resumeFrom.isEmpty())
                .toList();
    }
}
