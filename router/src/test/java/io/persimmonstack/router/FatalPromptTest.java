package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests with one message in their prompts that end one engine after the other: a few may, then all
 * routers refuse them, while requests that share everything else with them are served.
 */
class FatalPromptTest {
    private static final int ROUTERS = 2;
    private static final int ENGINES = 6;
    private static final int DOWN_MS = 150;
    private static final int KNOWN_ENDS = 5;
    private static final int KNOWN_AFTER_MS = 1_000;
    private static final int MAX_LATER_SENDS = 3;
    private static final int MAX_REQUESTS = 30;
    private static final int LATER_REQUESTS = 12;
    private static final String FATAL = "fatal context";

    private final AtomicInteger ends = new AtomicInteger();
    private final List<FakeTarget> engines = new ArrayList<>();
    private RouterFixture fixture;
    private int sent;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(ROUTERS);
        FakeFleet fleet = fixture.fleet();
        for (int i = 0; i < ENGINES; i++) {
            FakeTarget engine = fixture.target("g" + i, (exchange, received) -> {});
            FakeTarget.Behaviour sound = FakeTarget.stream(3, 3);
            engine.setBehaviour((exchange, received) -> {
                if (received.body().contains(FATAL)) {
                    ends.incrementAndGet();
                    engine.crash(DOWN_MS);
                } else {
                    sound.answer(exchange, received);
                }
            });
            engines.add(engine);
            fleet.runner(engine, "z1", 8, "deed@v1");
        }
        fixture.publish(fleet);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private HttpResponse<String> send(String context) throws Exception {
        String messages = """
                {"role": "system", "content": "You help."}, {"role": "system", "content": "%s"},
                {"role": "user", "content": "question %d"}""".formatted(context, ++sent);
        String body = "{\"model\": \"deed\", \"stream\": true, \"messages\": [" + messages + "]}";
        return fixture.send(fixture.request(sent % ROUTERS, "/v1/chat/completions")
                .header("X-Deadline-Ms", "3000")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    private int receivedCount() {
        return engines.stream()
                .mapToInt(engine -> engine.receivedRequests().size())
                .sum();
    }

    /** Failure: each request with the message ended up to three engines, at every router. */
    @Test
    void enginesAreProtectedAtAllRouters() throws Exception {
        for (int i = 0; i < MAX_REQUESTS && ends.get() < KNOWN_ENDS; i++) {
            send(FATAL);
            Thread.sleep(2 * DOWN_MS);
            send("context " + i);
        }
        Thread.sleep(KNOWN_AFTER_MS);
        int reached = 0;
        int served = 0;
        for (int i = 0; i < LATER_REQUESTS; i++) {
            int before = receivedCount();
            HttpResponse<String> refused = send(FATAL);
            assertTrue(refused.statusCode() >= 500, refused.body());
            reached += receivedCount() - before;
            served += send("context " + i).body().contains("[DONE]") ? 1 : 0;
        }
        assertTrue(reached <= MAX_LATER_SENDS, reached + " sends with the message after " + ends + " ends");
        assertEquals(LATER_REQUESTS, served, "sound requests");
    }
}
