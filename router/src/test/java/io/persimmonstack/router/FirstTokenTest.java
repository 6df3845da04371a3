package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.util.Headers;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Streams whose first token takes longer than the progress timeout. */
@Timeout(60)
class FirstTokenTest {
    private static final String ROLE_EVENT = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    private static final int PREFILL_MS = 800;

    @Test
    void firstTokenMayTakeLongerThanTheProgressTimeout() throws Exception {
        try (RouterFixture fixture = RouterFixture.start(1, ",\"targets\":{\"progressMs\":200}")) {
            FakeTarget runner = fixture.target("r1", (exchange, received) -> {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
                FakeTarget.send(exchange, ROLE_EVENT);
                Thread.sleep(PREFILL_MS);
                FakeTarget.stream(3, 1_000).answer(exchange, received);
            });
            fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
            HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true));
            assertEquals(StreamTokens.upTo(3), StreamTokens.parse(answer.body()));
            assertEquals(1, runner.receivedRequests().size());
        }
    }

    @Test
    void firstTokenWaitEndsAtTheDeadline() throws Exception {
        try (RouterFixture fixture = RouterFixture.start(1, ",\"targets\":{\"firstTokenMs\":600000}")) {
            FakeTarget runner = fixture.target("r1", (exchange, received) -> {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
                FakeTarget.send(exchange, ROLE_EVENT);
            });
            fixture.publish(fixture.fleet().runner(runner, "z1", 4, "deed@v1"));
            HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", true, "X-Deadline-Ms", "500"));
            assertFalse(answer.body().contains("[DONE]"));
            assertEquals(1, runner.receivedRequests().size());
        }
    }
}
